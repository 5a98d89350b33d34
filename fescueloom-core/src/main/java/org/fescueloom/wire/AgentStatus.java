package org.fescueloom.wire;

import java.util.Objects;

/**
 * Reports the current occupancy of an agent's upstream.
 *
 * @param upstream the identifier of the upstream, not null
 * @param slots the number of requests that the upstream serves at the same time
 * @param running the number of running attempts
 * @param queued the number of waiting attempts
 * @param serviceMicros the recent mean service time of one attempt, in microseconds; 0 if unknown
 */
public record AgentStatus(String upstream, int slots, int running, int queued, long serviceMicros) {
    /** Checks that the identifier is not null. */
    public AgentStatus {
        Objects.requireNonNull(upstream, "upstream");
    }
}
