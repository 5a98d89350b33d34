package org.fescueloom.request;

import java.util.Objects;
import org.fescueloom.wire.AgentStatus;

/**
 * Holds what an agent last said of its upstream.
 *
 * @param status the occupancy and the service time, not null
 * @param distanceNanos the time for a message there and back, in nanoseconds, not negative
 * @param atNanos when the figures arrived
 */
public record UpstreamFigures(AgentStatus status, long distanceNanos, long atNanos) {
    /** Checks that the status is given. */
    public UpstreamFigures {
        Objects.requireNonNull(status, "status");
    }
}
