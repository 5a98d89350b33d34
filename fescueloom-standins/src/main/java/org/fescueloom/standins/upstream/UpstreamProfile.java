package org.fescueloom.standins.upstream;

import java.nio.file.Path;
import java.util.Objects;

/**
 * Describes an upstream and how it serves.
 *
 * @param id the identifier, not null
 * @param slots how many requests it serves at once, at least 1
 * @param connections how many connections it accepts, at least 1
 * @param meanServiceMillis the mean service time at speed 1, in milliseconds, not negative
 * @param spread by how much of its mean a service time varies in both directions, from 0 to 1
 * @param speed how many times faster than at speed 1, above 0
 * @param seed the seed of the service times
 * @param agentAddress the address of its agent; null if it does not register
 * @param startsFile a file to which each run is written at its start; null for none
 */
public record UpstreamProfile(
        String id,
        int slots,
        int connections,
        double meanServiceMillis,
        double spread,
        double speed,
        long seed,
        String agentAddress,
        Path startsFile) {
    /** The slots of an upstream unless it says otherwise. */
    public static final int DEFAULT_SLOTS = 8;

    /** The connections of an upstream unless it says otherwise. */
    public static final int DEFAULT_CONNECTIONS = 64;

    private static final double DEFAULT_SPREAD = 0.5;

    /** Checks the ranges. */
    public UpstreamProfile {
        Objects.requireNonNull(id, "id");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("slots and connections must be at least 1");
        }
        if (!(meanServiceMillis >= 0.0 && spread >= 0.0 && spread <= 1.0 && speed > 0.0)) {
            throw new IllegalArgumentException("serviceMillis, spread or speed is out of range");
        }
    }

    /**
     * Returns a profile with usual slots and connections at speed 1.
     *
     * @param id the identifier, not null
     * @param meanServiceMillis the mean service time, in milliseconds
     * @param agentAddress the address of its agent; null if it does not register
     * @return the profile, never null
     */
    public static UpstreamProfile of(String id, double meanServiceMillis, String agentAddress) {
        return new UpstreamProfile(
                id,
                DEFAULT_SLOTS,
                DEFAULT_CONNECTIONS,
                meanServiceMillis,
                DEFAULT_SPREAD,
                1.0,
                id.hashCode(),
                agentAddress,
                null);
    }
}
