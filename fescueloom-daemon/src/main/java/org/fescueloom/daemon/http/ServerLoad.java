package org.fescueloom.daemon.http;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the connections and buffered bytes of a server. Safe for use by several threads. */
final class ServerLoad {
    private final ServerLimits limits;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicLong bufferedBytes = new AtomicLong();

    /**
     * Creates the counters of a server without connections.
     *
     * @param limits the limits, not null
     */
    ServerLoad(ServerLimits limits) {
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /**
     * Returns the limits.
     *
     * @return the limits, never null
     */
    ServerLimits limits() {
        return limits;
    }

    /**
     * Counts an opened connection, also if it exceeds the limit.
     *
     * @return false if more connections are open than the limit allows
     */
    boolean connectionOpened() {
        return connections.incrementAndGet() <= limits.maxConnections();
    }

    /** Removes a closed connection from the count. */
    void connectionClosed() {
        connections.decrementAndGet();
    }

    /**
     * Adds to the number of buffered bytes.
     *
     * @param bytes the number to add; negative for bytes that are no longer buffered
     * @return false if more bytes are buffered than the limit allows
     */
    boolean addBufferedBytes(long bytes) {
        return bufferedBytes.addAndGet(bytes) <= limits.maxBufferedBytes();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    int connections() {
        return connections.get();
    }

    /**
     * Returns the number of buffered bytes.
     *
     * @return the number
     */
    long bufferedBytes() {
        return bufferedBytes.get();
    }
}
