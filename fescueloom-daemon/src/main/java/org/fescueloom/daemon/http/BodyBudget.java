package org.fescueloom.daemon.http;

/** Bounds the bytes of all request bodies that a server holds. Safe for use by several threads. */
final class BodyBudget {
    private final long limitBytes;
    private long heldBytes;

    /**
     * Creates a budget of which nothing is taken.
     *
     * @param limitBytes how many bytes may be held at once
     */
    BodyBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Takes bytes if they are left.
     *
     * @param bytes how many, not negative
     * @return whether they were taken
     */
    synchronized boolean tryTake(long bytes) {
        if (heldBytes + bytes > limitBytes) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    /**
     * Gives bytes back.
     *
     * @param bytes how many of those taken
     */
    synchronized void giveBack(long bytes) {
        heldBytes -= bytes;
    }
}
