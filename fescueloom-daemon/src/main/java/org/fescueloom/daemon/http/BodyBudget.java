package org.fescueloom.daemon.http;

/** Limits the bytes of all request bodies that a server holds. Safe for use by several threads. */
final class BodyBudget {
    private final long maxBytes;
    private long reservedBytes;

    /**
     * Creates a budget without reserved bytes.
     *
     * @param maxBytes the maximum number of bytes that may be reserved at the same time
     */
    BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Reserves bytes if the budget has enough left.
     *
     * @param bytes the number of bytes, not negative
     * @return whether the bytes were reserved
     */
    synchronized boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /**
     * Releases reserved bytes.
     *
     * @param bytes the number of bytes, at most the number of reserved ones
     */
    synchronized void release(long bytes) {
        reservedBytes -= bytes;
    }
}
