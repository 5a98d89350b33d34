package org.fescueloom.wire;

import java.util.Objects;

/**
 * Identifies a live agent that can be a lease keeper.
 *
 * @param member the identifier of the agent, not null
 * @param zone the availability zone of the agent, not null
 */
public record KeeperCandidate(String member, String zone) {
    /** Checks that no component is null. */
    public KeeperCandidate {
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(zone, "zone");
    }
}
