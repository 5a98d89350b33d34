package org.fescueloom.report;

/**
 * Answers {@code PUT /v1/config}.
 *
 * @param version the version that was published
 */
public record VersionReport(long version) {}
