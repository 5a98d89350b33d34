package org.fescueloom.daemon.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Holds the limits for the connections of the servers of one process.
 *
 * @param maxConnections the maximum number of open connections, positive
 * @param maxBufferedBytes the maximum number of bytes of unsent responses, over all connections,
 *     positive
 * @param receiveTimeout the maximum time until a request has arrived completely, not null
 * @param sendTimeout the maximum time until a response is sent completely, not null
 * @param idleTimeout the maximum time without a request, not null
 * @param maxHeadBytes the maximum number of bytes of request heads and undecoded input, over all
 *     connections, positive
 * @param maxBodyBytes the maximum number of bytes of request bodies in progress, over all
 *     connections, positive
 * @param maxPipelinedRequests the maximum number of requests that wait on a connection for the
 *     request before them, positive
 * @param maxJsonValues the maximum number of values in a JSON body, positive
 * @param receiveBufferBytes the size of the buffer for one read from a connection, positive
 * @param minWaitToClose the minimum time that a connection must have waited for its client to be
 *     closed in favour of another connection, not null
 */
public record ServerLimits(
        int maxConnections,
        long maxBufferedBytes,
        Duration receiveTimeout,
        Duration sendTimeout,
        Duration idleTimeout,
        long maxHeadBytes,
        long maxBodyBytes,
        int maxPipelinedRequests,
        int maxJsonValues,
        int receiveBufferBytes,
        Duration minWaitToClose) {
    private static final int MIB = 1 << 20;

    private static final long MAX_HEAD_BYTES = 8L * MIB;
    private static final long MAX_BODY_BYTES = 12L * MIB;

    private static final int MAX_PIPELINED_REQUESTS = 32;

    /** A job of 16,384 steps with 16 fields each has 278,528 values in its steps. */
    private static final int MAX_JSON_VALUES = 300_000;

    /** Larger buffers used up the direct memory when many clients sent at the same time. */
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(90);
    private static final Duration MIN_WAIT_TO_CLOSE = Duration.ofSeconds(1);

    /** The limits of a daemon. */
    public static final ServerLimits DEFAULT =
            new ServerLimits(1_024, 32L * MIB, RECEIVE_TIMEOUT, SEND_TIMEOUT, IDLE_TIMEOUT);

    /**
     * The limits of an entry on the platform: 1,024 connections of callers, 2 of each of 620
     * agents, and some for the other servers. Of its heap of 96 MiB, the three budgets of bytes
     * take at most 28 MiB.
     */
    public static final ServerLimits ENTRY =
            new ServerLimits(2_700, 8L * MIB, RECEIVE_TIMEOUT, SEND_TIMEOUT, IDLE_TIMEOUT);

    /** The limits of an agent, which has a heap of 64 MiB and few callers. */
    public static final ServerLimits AGENT =
            new ServerLimits(
                    1_024,
                    4L * MIB,
                    RECEIVE_TIMEOUT,
                    SEND_TIMEOUT,
                    IDLE_TIMEOUT,
                    4L * MIB,
                    4L * MIB,
                    MAX_PIPELINED_REQUESTS,
                    MAX_JSON_VALUES,
                    RECEIVE_BUFFER_BYTES,
                    MIN_WAIT_TO_CLOSE);

    /** Checks that the numbers are positive and that no time is null. */
    public ServerLimits {
        requirePositive("maxConnections", maxConnections);
        requirePositive("maxBufferedBytes", maxBufferedBytes);
        requirePositive("maxHeadBytes", maxHeadBytes);
        requirePositive("maxBodyBytes", maxBodyBytes);
        requirePositive("maxPipelinedRequests", maxPipelinedRequests);
        requirePositive("maxJsonValues", maxJsonValues);
        requirePositive("receiveBufferBytes", receiveBufferBytes);
        Objects.requireNonNull(receiveTimeout, "receiveTimeout");
        Objects.requireNonNull(sendTimeout, "sendTimeout");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
        Objects.requireNonNull(minWaitToClose, "minWaitToClose");
    }

    /**
     * Creates limits with the defaults of the components that are not given.
     *
     * @param maxConnections the maximum number of open connections, positive
     * @param maxBufferedBytes the maximum number of bytes of unsent responses, positive
     * @param receiveTimeout the maximum time until a request has arrived completely, not null
     * @param sendTimeout the maximum time until a response is sent completely, not null
     * @param idleTimeout the maximum time without a request, not null
     */
    public ServerLimits(
            int maxConnections,
            long maxBufferedBytes,
            Duration receiveTimeout,
            Duration sendTimeout,
            Duration idleTimeout) {
        this(
                maxConnections,
                maxBufferedBytes,
                receiveTimeout,
                sendTimeout,
                idleTimeout,
                MAX_HEAD_BYTES,
                MAX_BODY_BYTES,
                MAX_PIPELINED_REQUESTS,
                MAX_JSON_VALUES,
                RECEIVE_BUFFER_BYTES,
                MIN_WAIT_TO_CLOSE);
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " is not positive: " + value);
        }
    }
}
