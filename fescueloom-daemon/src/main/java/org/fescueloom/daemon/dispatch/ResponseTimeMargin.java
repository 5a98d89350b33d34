package org.fescueloom.daemon.dispatch;

/**
 * Reserves time for the transit of a response, so that it arrives before the caller stops waiting.
 */
public final class ResponseTimeMargin {
    /** The transit time of a response on a slow machine. */
    private static final long MAX_MARGIN_MILLIS = 250;

    /**
     * The margin is at most the timeout divided by this number, so that short calls keep most of
     * their time: a response usually takes about 10 ms.
     */
    private static final long MARGIN_DIVISOR = 4;

    private ResponseTimeMargin() {}

    /**
     * Returns how long a call may be processed.
     *
     * @param timeoutMillis how long the caller waits, in milliseconds
     * @return the timeout less the margin, in milliseconds; 0 or less if no time is left
     */
    public static long subtractFrom(long timeoutMillis) {
        return timeoutMillis - Math.min(MAX_MARGIN_MILLIS, timeoutMillis / MARGIN_DIVISOR);
    }
}
