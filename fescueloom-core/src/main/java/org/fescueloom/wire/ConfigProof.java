package org.fescueloom.wire;

import org.fescueloom.config.ConfigurationDocument;

/**
 * Tells how recent a process's view of the configuration is.
 *
 * @param version the version in force; -1 for none
 * @param ageMillis the time since the log confirmed that no newer version exists, in milliseconds
 * @param logReachable whether the process reached the log at its last try
 * @param document the document of this version; null if the receiver has it already
 */
public record ConfigProof(
        long version, long ageMillis, boolean logReachable, ConfigurationDocument document) {}
