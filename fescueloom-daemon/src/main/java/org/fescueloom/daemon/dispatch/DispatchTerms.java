package org.fescueloom.daemon.dispatch;

/**
 * Holds the times of dispatching, all in milliseconds.
 *
 * @param leaseMillis how long runs live after their agent last reached the dispatcher
 * @param storeProofMillis how old the last answer of the log service may be when a lease is granted
 * @param freshReportMillis how old a report may be for its upstream to be given tasks
 * @param keepEndedMillis how long an ended job is known
 */
public record DispatchTerms(
        long leaseMillis, long storeProofMillis, long freshReportMillis, long keepEndedMillis) {
    /** The slowest clock of an upstream, over a true one, and a margin. */
    private static final double SLOW_CLOCK = 1.03;

    /** What is added for the way of an answer and the rounding of clocks. */
    private static final long MARGIN_MILLIS = 300;

    /** Checks the values. */
    public DispatchTerms {
        if (leaseMillis <= 0 || storeProofMillis <= 0 || freshReportMillis <= 0) {
            throw new IllegalArgumentException("the times of dispatching must be positive");
        }
    }

    /**
     * Returns after which time a lease has surely run out.
     *
     * @return milliseconds since the report to which it was granted
     */
    public long surelyLapsedMillis() {
        return (long) (leaseMillis * SLOW_CLOCK) + MARGIN_MILLIS;
    }
}
