package org.fescueloom.wire;

import java.util.Objects;

/**
 * Announces an upstream to the agent beside it.
 *
 * @param upstream the identifier of the upstream, not null
 * @param address where the upstream listens, as "address:port", not null
 * @param slots how many requests it serves at once, at least 1
 * @param connections how many connections it accepts, at least 1
 * @param leaving whether it takes no new work
 */
public record UpstreamRegistration(
        String upstream, String address, int slots, int connections, boolean leaving) {
    /** Checks that identifier and address are given and that it can serve something. */
    public UpstreamRegistration {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(address, "address");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("slots and connections must be at least 1");
        }
    }
}
