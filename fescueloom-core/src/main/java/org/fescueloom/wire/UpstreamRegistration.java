package org.fescueloom.wire;

import java.util.Objects;

/**
 * Registers an upstream with its agent.
 *
 * @param upstream the identifier of the upstream, not null
 * @param address the address on which the upstream listens, as "address:port", not null
 * @param slots the number of requests that the upstream serves at the same time, at least 1
 * @param connections the number of connections that the upstream accepts, at least 1
 * @param leaving whether the upstream is leaving and takes no new work
 */
public record UpstreamRegistration(
        String upstream, String address, int slots, int connections, boolean leaving) {
    /**
     * Checks that the identifier and the address are not null and that the numbers are in range.
     */
    public UpstreamRegistration {
        Objects.requireNonNull(upstream, "upstream");
        Objects.requireNonNull(address, "address");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "slots and connections must be at least 1: " + slots + ", " + connections);
        }
    }
}
