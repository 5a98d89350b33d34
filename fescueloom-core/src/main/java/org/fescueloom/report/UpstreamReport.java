package org.fescueloom.report;

import java.util.Objects;

/**
 * Reports one upstream and its agent.
 *
 * @param upstream the identifier of the upstream, not null
 * @param agent the identifier of its agent, not null
 * @param zone the availability zone, not null
 * @param address the address at which the agent listens, as "address:port", not null
 * @param leaving whether the agent is leaving and accepts no new work
 * @param slots the maximum number of requests that the upstream serves at the same time
 * @param running the number of running attempts
 * @param queued the number of waiting attempts
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
    /** Checks that the required values are not null. */
    public UpstreamReport {
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(upstream, "upstream");
    }
}
