package org.fescueloom.request;

import java.util.Objects;
import org.fescueloom.wire.AgentStatus;

/**
 * Holds the last status that an agent reported for its upstream, with the measured round-trip time.
 *
 * @param status the occupancy and the service time of the upstream, not null
 * @param roundTripNanos the round-trip time to the agent, in nanoseconds, not negative
 * @param receivedAtNanos the monotonic time at which the status arrived, in nanoseconds
 */
public record UpstreamMeasurement(AgentStatus status, long roundTripNanos, long receivedAtNanos) {
    /** Checks that the status is not null. */
    public UpstreamMeasurement {
        Objects.requireNonNull(status, "status");
    }
}
