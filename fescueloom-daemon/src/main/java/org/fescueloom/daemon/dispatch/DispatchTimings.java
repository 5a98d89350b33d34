package org.fescueloom.daemon.dispatch;

/**
 * Holds the time limits of the dispatcher, all in milliseconds.
 *
 * @param leaseMillis how long runs may continue after the last successful report of their agent
 * @param maxProofAgeMillis the maximum age of the confirmation of the claim when a lease is granted
 * @param maxReportAgeMillis the maximum age of the last report of an upstream that is given tasks
 * @param endedJobRetentionMillis how long an ended job is retained
 * @param checkpointIntervalMillis the work between two checkpoints of a run, as run time on an
 *     average upstream
 */
public record DispatchTimings(
        long leaseMillis,
        long maxProofAgeMillis,
        long maxReportAgeMillis,
        long endedJobRetentionMillis,
        long checkpointIntervalMillis) {
    /**
     * How many times longer than {@code leaseMillis} a lease may last if it is measured on the
     * slowest clock of an upstream, with a margin.
     */
    private static final double SLOW_CLOCK_FACTOR = 1.03;

    /** Covers the transit time of a response and the rounding of clocks. */
    private static final long MARGIN_MILLIS = 300;

    /** Checks the values. */
    public DispatchTimings {
        if (checkpointIntervalMillis <= 0) {
            throw new IllegalArgumentException(
                    "checkpointIntervalMillis must be positive, but is "
                            + checkpointIntervalMillis);
        }
        if (leaseMillis <= 0 || maxProofAgeMillis <= 0 || maxReportAgeMillis <= 0) {
            throw new IllegalArgumentException(
                    "lease, proof age and report age must be positive: "
                            + leaseMillis
                            + ", "
                            + maxProofAgeMillis
                            + ", "
                            + maxReportAgeMillis);
        }
    }

    /**
     * Returns the time after which a lease has expired on the clock of any upstream.
     *
     * @return milliseconds since the lease was granted
     */
    public long latestLeaseExpiryMillis() {
        return (long) (leaseMillis * SLOW_CLOCK_FACTOR) + MARGIN_MILLIS;
    }
}
