package org.fescueloom.daemon.entry;

import java.util.Objects;

/**
 * Names an agent as the receiver of attempts.
 *
 * @param upstream the identifier of the upstream beside it, not null
 * @param address where it listens, as "address:port", not null
 * @param incarnation the incarnation of the agent
 */
record AgentTarget(String upstream, String address, long incarnation) {
    /** Checks that upstream and address are given. */
    AgentTarget {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(address, "address");
    }
}
