package org.fescueloom.daemon.http;

/** Bounds the bytes of all request bodies that a server holds. Safe for use by several threads. */
final class BodyBudget {
    private final long maxBytes;
    private long reservedBytes;

    /**
     * Creates a budget of which nothing is taken.
     *
     * @param maxBytes how many bytes may be held at once
     */
    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Takes bytes if they are left.
     *
     * @param bytes how many, not negative
     * @return whether they were taken
     */
    synchronized boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /**
     * Gives bytes back.
     *
     * @param bytes how many of those taken
     */
    synchronized void release(long bytes) {
        reservedBytes -= bytes;
    }
}
