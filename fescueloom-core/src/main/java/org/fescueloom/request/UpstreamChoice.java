package org.fescueloom.request;

import java.util.Objects;

/**
 * Describes an upstream that an attempt can be sent to.
 *
 * @param upstream the identifier of the upstream, not null
 * @param expectedNanos the expected time until the response has arrived, in nanoseconds
 * @param inFlight the number of attempts of this process that are in flight at the upstream
 */
public record UpstreamChoice(String upstream, long expectedNanos, int inFlight) {
    /** Checks that the identifier is not null. */
    public UpstreamChoice {
        Objects.requireNonNull(upstream, "upstream");
    }
}
