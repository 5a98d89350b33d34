package org.fescueloom.daemon.dispatch;

/**
 * Computes the fencing tokens that go with all calls to an upstream. An upstream ignores a call
 * with a lower token than the highest it has received in its present incarnation.
 *
 * <p>A token grows with the epoch of the dispatcher and, within an epoch, with the start time of
 * the incarnation. The identifier in a call is the same for all incarnations of an upstream; but
 * once an incarnation has been polled, its token bars all calls that were meant for earlier ones.
 */
final class FencingToken {
    /** The resolution of start times: 256 ms, in which no upstream starts twice. */
    private static final int START_TIME_SHIFT = 8;

    /**
     * The number of bits for a start time; they suffice for dates until the year 2109. Tokens stay
     * below 2^53, up to which JSON numbers are exact everywhere, for epochs up to 500,000.
     */
    private static final int START_TIME_BITS = 34;

    private FencingToken() {}

    /**
     * Returns the token for calls to an incarnation of an upstream.
     *
     * @param epoch the epoch of the dispatcher, not negative
     * @param bornMillis when the incarnation started, in milliseconds since 1970; later if the
     *     clock was set back, see {@link UpstreamTracker#tokenStartMillis()}; 0 if unknown
     * @return the token, which grows with both arguments
     */
    static long of(long epoch, long bornMillis) {
        long latest = (1L << START_TIME_BITS) - 1;
        return (epoch << START_TIME_BITS) + Math.min(latest, bornMillis >> START_TIME_SHIFT);
    }
}
