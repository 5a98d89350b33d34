package org.fescueloom.config;

import java.util.Locale;

/** Enumerates the results of folding one record of the stream "config". */
public enum RecordVerdict {
    /** A change that took effect at its offset. */
    ACCEPTED,
    /** A change whose base was not the version in force at its offset. */
    CONFLICT,
    /** A record whose identifier has occurred before in the stream. */
    REPEATED,
    /** A snapshot. */
    SNAPSHOT,
    /** A record that is not a valid configuration record. */
    CORRUPT,
    /** A record in an unknown format. */
    UNKNOWN_FORMAT;

    /**
     * Tests whether records with this verdict could not be read.
     *
     * @return true for {@link #CORRUPT} and {@link #UNKNOWN_FORMAT}
     */
    public boolean unreadable() {
        return this == CORRUPT || this == UNKNOWN_FORMAT;
    }

    /**
     * Returns the name of this verdict in counters.
     *
     * @return the name in lower case with hyphens, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
