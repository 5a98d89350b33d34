package org.fescueloom.daemon.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Bounds what the connections of a server may take.
 *
 * @param maxConnections the most open connections, positive
 * @param maxBufferedBytes the most bytes of bodies that arrive and of answers that wait to be sent,
 *     over all connections, positive
 * @param receiveTimeout the longest time for a request to arrive whole, not null
 * @param sendTimeout the longest time for an answer to be taken whole, not null
 * @param idleTimeout the longest time without a request, not null
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

    /** Checks that the numbers are positive and the times given. */
    public ServerLimits {
        if (maxConnections <= 0 || maxBufferedBytes <= 0) {
            throw new IllegalArgumentException("the limits of a server must be positive");
        }
        Objects.requireNonNull(receiveTimeout, "receiveTimeout");
        Objects.requireNonNull(sendTimeout, "sendTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
    }
}
