package org.fescueloom.daemon.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the limits for the connections of a server.
 *
 * @param maxConnections the maximum number of open connections, positive
 * @param maxBufferedBytes the maximum number of bytes of incomplete request bodies and unsent
 *     responses, over all connections, positive
 * @param receiveTimeout the maximum time until a request has arrived completely, not null
 * @param sendTimeout the maximum time until a response is sent completely, not null
 * @param idleTimeout the maximum time without a request, not null
 */
public record ServerLimits(
        int maxConnections,
        long maxBufferedBytes,
        Duration receiveTimeout,
        Duration sendTimeout,
        Duration idleTimeout) {
    /** The limits of a daemon. */
    public static final ServerLimits DEFAULT =
            new ServerLimits(
                    1_024,
                    32L << 20,
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(90));

    /** Checks that the numbers are positive and that no time is null. */
    public ServerLimits {
        if (maxConnections <= 0 || maxBufferedBytes <= 0) {
            throw new IllegalArgumentException(
                    "maxConnections and maxBufferedBytes must be positive, but are "
                            + maxConnections
                            + " and "
                            + maxBufferedBytes);
        }
        Objects.requireNonNull(receiveTimeout, "receiveTimeout");
        Objects.requireNonNull(sendTimeout, "sendTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
    }
}
