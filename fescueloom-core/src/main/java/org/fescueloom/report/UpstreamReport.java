package org.fescueloom.report;

import java.util.Objects;

/**
 * Reports one upstream and its agent.
 *
 * @param upstream the identifier of the upstream, not null
 * @param agent the identifier of its agent, not null
 * @param zone the availability zone, not null
 * @param address where the agent listens, as "address:port", not null
 * @param leaving whether it takes no new work
 * @param slots how many requests it serves at once
 * @param running how many attempts run now
 * @param queued how many attempts wait now
 * @param serviceMicros the recent mean service time of one attempt, in microseconds; 0 if unknown
 * @param ageMillis the age of these figures, in milliseconds
 */
public record UpstreamReport(
        String upstream,
        String agent,
        String zone,
        String address,
        boolean leaving,
        int slots,
        int running,
        int queued,
        long serviceMicros,
        long ageMillis) {
    /** Checks what is required and copies the collections. */
    public UpstreamReport {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(upstream, "upstream");
    }
}
