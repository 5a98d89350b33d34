package org.fescueloom.config;

import java.util.Objects;

/**
 * Holds what a process knows of the configuration, and how recent this is.
 *
 * <p>Times are in milliseconds of the process's monotonic clock.
 *
 * @param version the version in force; -1 for none
 * @param document the document of this version, not null
 * @param confirmedAtMillis the latest time at which the log, itself or through a peer, had no newer
 *     version; {@link #NEVER} if unknown
 * @param outageAtMillis the latest time at which neither this process nor any entry that it knows
 *     reached the log; {@link #NEVER} if there was none
 */
public record ConfigurationView(
        long version, ConfigurationDocument document, long confirmedAtMillis, long outageAtMillis) {
    /** Stands for a time that has not been. */
    public static final long NEVER = Long.MIN_VALUE;

    /** What a process knows at its start. */
    public static final ConfigurationView NONE =
            new ConfigurationView(
                    ConfigurationRecord.NO_VERSION, ConfigurationDocument.EMPTY, NEVER, NEVER);

    /** Checks that the document is given. */
    public ConfigurationView {
        Objects.requireNonNull(document, "document");
    }

    /**
     * Returns the time since the version was last proven to be the newest.
     *
     * @param nowMillis the time now
     * @return the age in milliseconds, at least 0; {@code Long.MAX_VALUE} if it never was
     */
    public long ageMillis(long nowMillis) {
        return since(confirmedAtMillis, nowMillis);
    }

    /**
     * Returns the time since the log was last known to be unreachable for every entry.
     *
     * @param nowMillis the time now
     * @return the age in milliseconds, at least 0; {@code Long.MAX_VALUE} if it never was
     */
    public long outageAgeMillis(long nowMillis) {
        return since(outageAtMillis, nowMillis);
    }

    private static long since(long thenMillis, long nowMillis) {
        return thenMillis == NEVER ? Long.MAX_VALUE : Math.max(0L, nowMillis - thenMillis);
    }
}
