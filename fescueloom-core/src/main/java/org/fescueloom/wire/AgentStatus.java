package org.fescueloom.wire;

import java.util.Objects;

/**
 * Reports what an agent's upstream can take now.
 *
 * @param upstream the identifier of the upstream, not null
 * @param slots how many requests the upstream serves at once
 * @param running how many attempts run now
 * @param queued how many attempts wait now
 * @param serviceMicros the recent mean service time of one attempt, in microseconds; 0 if unknown
 */
public record AgentStatus(String upstream, int slots, int running, int queued, long serviceMicros) {
    /** Checks that the identifier is given. */
    public AgentStatus {
        Objects.requireNonNull(upstream, "upstream");
    }
}
