package org.fescueloom.wire;

import org.fescueloom.config.ConfigurationDocument;

/**
 * Reports the configuration version of a process and the time since this version was confirmed as
 * the newest.
 *
 * @param version the version in force; -1 for none
 * @param ageMillis the time since the log service confirmed that no newer version exists, in
 *     milliseconds; {@code Long.MAX_VALUE} if there is no such confirmation
 * @param logReachable false if the last call of the process to the log service failed; true also
 *     after a failed call while the process appends a change, or has not read back a change that
 *     the log may contain
 * @param document the document of this version; null if the receiver already has it
 * @param foldedTo the offset below which the process has folded every record of the configuration
 *     stream; -1 if the process has not folded the records
 */
public record ConfigStatus(
        long version,
        long ageMillis,
        boolean logReachable,
        ConfigurationDocument document,
        long foldedTo) {
    /** The value of {@code foldedTo} of a process that has not folded the records. */
    public static final long NOT_FOLDED = -1L;

    /**
     * Creates the status of a process that has not folded the records itself.
     *
     * @param version the version in force; -1 for none
     * @param ageMillis the time since the log service confirmed the version, in milliseconds;
     *     {@code Long.MAX_VALUE} if there is no such confirmation
     * @param logReachable whether the process reports the log service as reachable
     * @param document the document of this version; null if the receiver already has it
     */
    public ConfigStatus(
            long version, long ageMillis, boolean logReachable, ConfigurationDocument document) {
        this(version, ageMillis, logReachable, document, NOT_FOLDED);
    }
}
