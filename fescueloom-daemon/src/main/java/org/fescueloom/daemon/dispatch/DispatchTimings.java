package org.fescueloom.daemon.dispatch;

/**
 * Holds the settings of the dispatcher: its time limits, all in milliseconds, and by what it
 * expects run times.
 *
 * @param leaseMillis how long runs may continue after the last successful report of their agent
 * @param maxProofAgeMillis the maximum age of the confirmation of the claim when a lease is granted
 * @param maxReportAgeMillis the maximum age of the last report of an upstream that is given tasks
 * @param endedJobRetentionMillis how long an ended job is retained
 * @param checkpointIntervalMillis the work between two checkpoints of a run, as run time on an
 *     average upstream
 * @param learnsRunLengths whether the dispatcher learns run lengths from ended runs and decides by
 *     them; otherwise it decides by the estimates of callers
 */
public record DispatchTimings(
        long leaseMillis,
        long maxProofAgeMillis,
        long maxReportAgeMillis,
        long endedJobRetentionMillis,
        long checkpointIntervalMillis,
        boolean learnsRunLengths) {
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
     * Creates the settings of a dispatcher that decides by the estimates of callers.
     *
     * @param leaseMillis how long runs may continue after the last successful report
     * @param maxProofAgeMillis the maximum age of the confirmation of the claim
     * @param maxReportAgeMillis the maximum age of the last report of an upstream
     * @param endedJobRetentionMillis how long an ended job is retained
     * @param checkpointIntervalMillis the work between two checkpoints of a run
     */
    public DispatchTimings(
            long leaseMillis,
            long maxProofAgeMillis,
            long maxReportAgeMillis,
            long endedJobRetentionMillis,
            long checkpointIntervalMillis) {
        this(
                leaseMillis,
                maxProofAgeMillis,
                maxReportAgeMillis,
                endedJobRetentionMillis,
                checkpointIntervalMillis,
                false);
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
