package org.fescueloom.daemon.dispatch;

/**
 * Holds the times of dispatching, all in milliseconds.
 *
 * @param leaseMillis how long runs live after their agent last reached the dispatcher
 * @param maxProofAgeMillis how old the last answer of the log service may be when a lease is
 *     granted
 * @param maxReportAgeMillis how old a report may be for its upstream to be given tasks
 * @param endedJobRetentionMillis how long an ended job is known
 */
public record DispatchTimings(
        long leaseMillis,
        long maxProofAgeMillis,
        long maxReportAgeMillis,
        long endedJobRetentionMillis) {
    /** The slowest clock of an upstream, over a true one, and a margin. */
    private static final double SLOW_CLOCK = 1.03;

    /** What is added for the way of an answer and the rounding of clocks. */
    private static final long MARGIN_MILLIS = 300;

    /** Checks the values. */
    public DispatchTimings {
        if (leaseMillis <= 0 || maxProofAgeMillis <= 0 || maxReportAgeMillis <= 0) {
            throw new IllegalArgumentException("the times of dispatching must be positive");
        }
    }

    /**
     * Returns after which time a lease has surely run out.
     *
     * @return milliseconds since the report to which it was granted
     */
    public long latestLeaseExpiryMillis() {
        return (long) (leaseMillis * SLOW_CLOCK) + MARGIN_MILLIS;
    }
}
