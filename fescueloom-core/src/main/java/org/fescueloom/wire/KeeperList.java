package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Lists the live agents that can keep leases.
 *
 * @param digest stands for the content; equal for equal lists, not null
 * @param candidates the agents in order of their names; null if the receiver has this list already
 */
public record KeeperList(String digest, List<KeeperCandidate> candidates) {
    /** Checks the digest and copies the list. */
    public KeeperList {
        Objects.requireNonNull(digest, "digest");
        candidates = candidates == null ? null : List.copyOf(candidates);
    }
}
