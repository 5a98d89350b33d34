package org.fescueloom.config;

import java.util.Objects;

/**
 * Holds the configuration that a process knows, and the time at which the version of this
 * configuration was last confirmed as the newest.
 *
 * <p>Times are in milliseconds of the monotonic clock of the process.
 *
 * @param version the version in force; -1 for none
 * @param document the document of this version, not null
 * @param confirmedAtMillis the latest time at which the log, read directly or by a peer, had no
 *     newer version; {@link #NEVER} if unknown
 * @param outageAtMillis the latest time at which neither this process, if it is an entry, nor any
 *     entry that it knows could reach the log service; {@link #NEVER} if there is no such time
 */
public record ConfigurationView(
        long version, ConfigurationDocument document, long confirmedAtMillis, long outageAtMillis) {
    /** Represents the time of an event that has not happened. */
    public static final long NEVER = Long.MIN_VALUE;

    /** The view of a process that has just started. */
    public static final ConfigurationView NONE =
            new ConfigurationView(
                    ConfigurationRecord.NO_VERSION, ConfigurationDocument.EMPTY, NEVER, NEVER);

    /** Checks that the document is not null. */
    public ConfigurationView {
        Objects.requireNonNull(document, "document");
    }

    /**
     * Returns the time since the version was last confirmed as the newest.
     *
     * @param nowMillis the current time
     * @return the age in milliseconds, at least 0; {@code Long.MAX_VALUE} if there is no such time
     */
    public long ageMillis(long nowMillis) {
        return since(confirmedAtMillis, nowMillis);
    }

    /**
     * Returns the time since every known entry was last known to be unable to reach the log
     * service.
     *
     * @param nowMillis the current time
     * @return the age in milliseconds, at least 0; {@code Long.MAX_VALUE} if there is no such time
     */
    public long outageAgeMillis(long nowMillis) {
        return since(outageAtMillis, nowMillis);
    }

    private static long since(long thenMillis, long nowMillis) {
        return thenMillis == NEVER ? Long.MAX_VALUE : Math.max(0L, nowMillis - thenMillis);
    }
}
