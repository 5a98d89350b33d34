package org.fescueloom.daemon.http;

/**
 * Reserves the bytes of the heads that a connection holds, and of its input that is not decoded
 * yet. All methods run on the event loop of the connection.
 *
 * <p>The decoder does not tell how many bytes it holds, so this class counts the received bytes
 * between two decoded messages, which are at least as many. The head of a request counts until the
 * next request begins, because the server keeps the last request of an idle connection.
 */
final class HeadReservation {
    private final SharedBudget.Share budget;
    private long headBytes;

    /** The received bytes that belong to no head so far. */
    private long undecodedBytes;

    /** Whether the decoder has emitted a message since the last input. */
    private boolean decoded;

    HeadReservation(SharedBudget.Share budget) {
        this.budget = budget;
    }

    /**
     * Counts received bytes before they are decoded.
     *
     * @param bytes the number of bytes
     * @return false if the budget has too little left; the bytes are counted also in this case
     */
    boolean receive(int bytes) {
        if (decoded) {
            budget.release(undecodedBytes);
            undecodedBytes = 0;
            decoded = false;
        }
        undecodedBytes += bytes;
        boolean fits = budget.tryAcquire(bytes);
        if (!fits) {
            budget.acquire(bytes);
        }
        return fits;
    }

    /** Notes that the decoder has emitted a message, so that it holds no earlier input. */
    void markDecoded() {
        decoded = true;
    }

    /** Counts the undecoded bytes as the head of a request, in place of the head before it. */
    void beginRequest() {
        budget.release(headBytes);
        headBytes = undecodedBytes;
        undecodedBytes = 0;
    }

    /** Releases bytes that have become a part of a body, which has a budget of its own. */
    void removeBodyBytes(int bytes) {
        long removed = Math.min(bytes, undecodedBytes);
        budget.release(removed);
        undecodedBytes -= removed;
    }

    /** Releases everything, when the connection is closed. */
    void releaseAll() {
        budget.release(headBytes + undecodedBytes);
        headBytes = 0;
        undecodedBytes = 0;
    }
}
