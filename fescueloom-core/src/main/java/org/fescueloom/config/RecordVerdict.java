package org.fescueloom.config;

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
    UNKNOWN_FORMAT
}
