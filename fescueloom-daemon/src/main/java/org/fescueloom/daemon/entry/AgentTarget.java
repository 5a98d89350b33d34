package org.fescueloom.daemon.entry;

import java.util.Objects;

/**
 * Identifies the incarnation of an agent to which attempts are sent.
 *
 * @param upstream the identifier of the agent's upstream, not null
 * @param address the address on which the agent listens, as "address:port", not null
 * @param incarnation the incarnation of the agent
 */
record AgentTarget(String upstream, String address, long incarnation) {
    /** Checks that the upstream and the address are not null. */
    AgentTarget {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(address, "address");
    }
}
