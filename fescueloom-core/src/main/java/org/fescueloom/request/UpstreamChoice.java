package org.fescueloom.request;

import java.util.Objects;

/**
 * Names the upstream that a request should go to.
 *
 * @param upstream the identifier of the upstream, not null
 * @param expectedNanos the expected time until the answer is here, in nanoseconds
 * @param inFlight how many attempts of this process are under way there
 */
public record UpstreamChoice(String upstream, long expectedNanos, int inFlight) {
    /** Checks that the identifier is given. */
    public UpstreamChoice {
        Objects.requireNonNull(upstream, "upstream");
    }
}
