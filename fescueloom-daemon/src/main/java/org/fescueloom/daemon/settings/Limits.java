package org.fescueloom.daemon.settings;

/**
 * Bounds what one daemon takes on.
 *
 * @param maxBodyBytes the longest body that is accepted, in bytes
 */
public record Limits(int maxBodyBytes) {
    /** The longest body that may be configured, in bytes. */
    public static final int MAX_BODY_BYTES_LIMIT = 16 * 1024 * 1024;

    /** The limits that hold when the settings name none. */
    public static final Limits DEFAULT = new Limits(4 * 1024 * 1024);

    /** Checks that every limit is in its range. */
    public Limits {
        if (maxBodyBytes < 1 || maxBodyBytes > MAX_BODY_BYTES_LIMIT) {
            throw new IllegalArgumentException("maxBodyBytes is out of range: " + maxBodyBytes);
        }
    }
}
