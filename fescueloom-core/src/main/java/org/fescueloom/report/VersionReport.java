package org.fescueloom.report;

/**
 * Holds the response to {@code PUT /v1/config}.
 *
 * @param version the version of the published configuration
 */
public record VersionReport(long version) {}
