package org.fescueloom.standins.upstream;

import java.nio.file.Path;
import java.util.Objects;

/**
 * Holds the properties of an upstream stand-in: identifier, capacity and service times.
 *
 * @param id the identifier of the upstream, not null
 * @param slots the number of requests that the upstream serves at the same time, at least 1
 * @param connections the number of connections that the upstream reports to its agent, at least 1
 * @param meanServiceMillis the mean service time at speed 1, in milliseconds, not negative
 * @param spread the largest deviation of a service time from the mean in either direction, as a
 *     fraction of the mean, from 0 to 1
 * @param speed the factor by which the service times are divided, compared with speed 1; above 0
 * @param seed the seed of the random service times
 * @param agentAddress the address of the agent with which the upstream registers; null if the
 *     upstream does not register
 * @param startsFile the file to which each run is appended when the run starts; null for none
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
    /** The number of slots of an upstream for which none is given. */
    public static final int DEFAULT_SLOTS = 8;

    /** The number of connections of an upstream for which none is given. */
    public static final int DEFAULT_CONNECTIONS = 64;

    private static final double DEFAULT_SPREAD = 0.5;

    /** Checks that the identifier is not null and that the numbers are in range. */
    public UpstreamProfile {
        Objects.requireNonNull(id, "id");
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException(
                    "slots and connections must be at least 1: " + slots + ", " + connections);
        }
        if (!(meanServiceMillis >= 0.0 && spread >= 0.0 && spread <= 1.0 && speed > 0.0)) {
            throw new IllegalArgumentException(
                    "service-millis must be at least 0, spread from 0 to 1, speed above 0: "
                            + meanServiceMillis
                            + ", "
                            + spread
                            + ", "
                            + speed);
        }
    }

    /**
     * Returns a profile with the default slots, connections and spread, and with speed 1.
     *
     * @param id the identifier of the upstream, not null; its hash code is the seed
     * @param meanServiceMillis the mean service time, in milliseconds, not negative
     * @param agentAddress the address of the agent with which the upstream registers; null if the
     *     upstream does not register
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
