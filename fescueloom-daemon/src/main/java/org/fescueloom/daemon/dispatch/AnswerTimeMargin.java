package org.fescueloom.daemon.dispatch;

/** Sets aside what the way of an answer may take, so that it comes within the time of a caller. */
public final class AnswerTimeMargin {
    /** What the way may take on a slow machine. */
    private static final long MAX_MILLIS = 250;

    /** A call with little time left keeps most of it: an answer usually takes some 10 ms. */
    private static final long MAX_PART = 4;

    private AnswerTimeMargin() {}

    /**
     * Returns how long a call may be worked on.
     *
     * @param timeoutMillis how long the caller waits, in milliseconds
     * @return the time less the margin, in milliseconds; 0 or less if nothing is left
     */
    public static long subtractFrom(long timeoutMillis) {
        return timeoutMillis - Math.min(MAX_MILLIS, timeoutMillis / MAX_PART);
    }
}
