package org.fescueloom.wire;

import java.util.Objects;

/**
 * Names a live agent that can keep leases.
 *
 * @param member the identifier of the agent, not null
 * @param zone its availability zone, not null
 */
public record KeeperCandidate(String member, String zone) {
    /** Checks that no component is null. */
    public KeeperCandidate {
        Objects.requireNonNull(member, "member");
        Objects.requireNonNull(zone, "zone");
    }
}
