package org.fescueloom.daemon.http;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts what the connections of one server take; can be used by many threads. */
final class ServerLoad {
    private final ServerLimits limits;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicLong bufferedBytes = new AtomicLong();

    /**
     * Creates the counts of a server without connections.
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
     * Counts a connection that was opened.
     *
     * @return false if it is one too many
     */
    boolean connectionOpened() {
        return connections.incrementAndGet() <= limits.maxConnections();
    }

    /** Counts a connection that was closed. */
    void connectionClosed() {
        connections.decrementAndGet();
    }

    /**
     * Counts bytes that are held from now on.
     *
     * @param bytes the number; negative for bytes that are held no longer
     * @return false if more are held than the limit allows
     */
    boolean addBufferedBytes(long bytes) {
        return bufferedBytes.addAndGet(bytes) <= limits.maxBufferedBytes();
    }

    /**
     * Returns how many connections are open.
     *
     * @return the number
     */
    int connections() {
        return connections.get();
    }

    /**
     * Returns how many bytes are held.
     *
     * @return the number
     */
    long bufferedBytes() {
        return bufferedBytes.get();
    }
}
