package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Lists the live agents that can be lease keepers. A lease keeper renews the leases of a gang and
 * stops the gang.
 *
 * @param digest a digest of the list, equal for equal lists, not null
 * @param candidates the agents in the order of their identifiers; null if the receiver already has
 *     this list
 */
public record KeeperList(String digest, List<KeeperCandidate> candidates) {
    /** Checks that the digest is not null and copies the list. */
    public KeeperList {
        Objects.requireNonNull(digest, "digest");
        candidates = candidates == null ? null : List.copyOf(candidates);
    }
}
