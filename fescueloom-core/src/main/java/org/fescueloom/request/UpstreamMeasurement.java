package org.fescueloom.request;

import java.util.Objects;
import org.fescueloom.wire.AgentStatus;

/**
 * Holds what an agent last said of its upstream.
 *
 * @param status the occupancy and the service time, not null
 * @param roundTripNanos the time for a message there and back, in nanoseconds, not negative
 * @param receivedAtNanos when the figures arrived
 */
public record UpstreamMeasurement(AgentStatus status, long roundTripNanos, long receivedAtNanos) {
    /** Checks that the status is given. */
    public UpstreamMeasurement {
        Objects.requireNonNull(status, "status");
    }
}
