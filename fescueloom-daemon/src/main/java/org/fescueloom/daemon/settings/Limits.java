package org.fescueloom.daemon.settings;

/**
 * Holds the upper bounds on the input that one daemon accepts.
 *
 * @param maxBodyBytes the maximum length of a request body, in bytes
 */
public record Limits(int maxBodyBytes) {
    /** The greatest value allowed for {@code maxBodyBytes}, in bytes. */
    public static final int MAX_BODY_BYTES_LIMIT = 16 * 1024 * 1024;

    /** The limits of settings without {@code limits}: request bodies of up to 4 MiB. */
    public static final Limits DEFAULT = new Limits(4 * 1024 * 1024);

    /** Checks that every limit is within its bounds. */
    public Limits {
        if (maxBodyBytes < 1 || maxBodyBytes > MAX_BODY_BYTES_LIMIT) {
            throw new IllegalArgumentException(
                    "maxBodyBytes must be from 1 to "
                            + MAX_BODY_BYTES_LIMIT
                            + ", not "
                            + maxBodyBytes);
        }
    }
}
