package org.fescueloom.wire;

import org.fescueloom.config.ConfigurationDocument;

/**
 * Tells how recent a process's view of the configuration is.
 *
 * @param version the version in force; -1 for none
 * @param ageMillis the time since the log confirmed that no newer version exists, in milliseconds
 * @param logReachable whether the process reached the log at its last try
 * @param document the document of this version; null if the receiver has it already
 * @param foldedTo the offset below which the process has folded every record of the configuration;
 *     -1 if it has not
 */
public record ConfigStatus(
        long version,
        long ageMillis,
        boolean logReachable,
        ConfigurationDocument document,
        long foldedTo) {
    /** The offset of a process that has not folded the records. */
    public static final long NOT_FOLDED = -1L;

    /**
     * Creates a proof of a process that has not folded the records itself.
     *
     * @param version the version in force; -1 for none
     * @param ageMillis the time since the log confirmed the version, in milliseconds
     * @param logReachable whether the process reached the log at its last try
     * @param document the document of this version; null if the receiver has it already
     */
    public ConfigStatus(
            long version, long ageMillis, boolean logReachable, ConfigurationDocument document) {
        this(version, ageMillis, logReachable, document, NOT_FOLDED);
    }
}
