package org.fescueloom.config;

import java.util.Locale;

/** Says what became of one record of the stream "config". */
public enum RecordVerdict {
    /** A change that is in force from its offset on. */
    ACCEPTED,
    /** A change whose base was no longer the current version at its offset. */
    CONFLICT,
    /** A record whose identifier stood in the stream before. */
    REPEATED,
    /** A record that restates a version. */
    SNAPSHOT,
    /** A record that is no configuration record. */
    CORRUPT,
    /** A record in a format that this process does not know. */
    UNKNOWN_FORMAT;

    /**
     * Tells whether records of this verdict could not be read.
     *
     * @return true for corrupt records and unknown formats
     */
    public boolean unreadable() {
        return this == CORRUPT || this == UNKNOWN_FORMAT;
    }

    /**
     * Returns the name in lower case with hyphens, as it stands in counters.
     *
     * @return the text, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
