package org.fescueloom.gang;

/**
 * Holds the times that bound the start of a gang and its leases.
 *
 * @param ttlMillis the time after which a lease lapses unless it is renewed, in milliseconds
 * @param pollMillis the time between two rounds of a lease keeper, in milliseconds
 * @param callTimeoutMillis the time after which a call to a worker times out, in milliseconds
 * @param startBoundMillis the time within which all members of a gang must run, in milliseconds
 * @param viewAgeMillis the age from which a keeper's view of the {@code jobs} stream is no longer
 *     valid, in milliseconds
 */
public record LeaseTimings(
        long ttlMillis,
        long pollMillis,
        long callTimeoutMillis,
        long startBoundMillis,
        long viewAgeMillis) {
    /** The default times. */
    public static final LeaseTimings DEFAULT =
            new LeaseTimings(6_000L, 1_500L, 500L, 2_500L, 3_000L);

    /**
     * Checks that the times are consistent.
     *
     * @throws IllegalArgumentException if a time is not positive, if a lease is not longer than two
     *     keeper rounds with their calls, or if the time for a start is not shorter than a lease
     */
    public LeaseTimings {
        requirePositive("ttlMillis", ttlMillis);
        requirePositive("pollMillis", pollMillis);
        requirePositive("callTimeoutMillis", callTimeoutMillis);
        requirePositive("startBoundMillis", startBoundMillis);
        requirePositive("viewAgeMillis", viewAgeMillis);
        if (ttlMillis <= 2 * (pollMillis + callTimeoutMillis)) {
            throw new IllegalArgumentException(
                    "ttlMillis must be above "
                            + 2 * (pollMillis + callTimeoutMillis)
                            + ", the time of two keeper rounds with their calls, but is "
                            + ttlMillis);
        }
        if (startBoundMillis >= ttlMillis) {
            throw new IllegalArgumentException(
                    "startBoundMillis must be below ttlMillis, "
                            + ttlMillis
                            + ", but is "
                            + startBoundMillis);
        }
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }

    /**
     * Returns the longest time between the first report that a keeper's decision is based on and
     * the arrival of the renewals that follow from the decision. A decision uses no reports of
     * earlier rounds. Both the calls for reports and the renewals may take {@link
     * #callTimeoutMillis()}.
     *
     * @return the time in milliseconds
     */
    public long maxRenewalDelayMillis() {
        return 2 * callTimeoutMillis;
    }

    /**
     * Returns the longest time for which some members of a gang may run after another member has
     * died.
     *
     * <p>A renewal that arrives after the death is based on reports from before the death, so it
     * arrives within {@link #maxRenewalDelayMillis()} of the death and extends the lease by {@link
     * #ttlMillis()}. A keeper that is paused between its decision and its renewals, for less than a
     * lease, adds the duration of one more lease.
     *
     * @param pausedKeepers the number of keepers that are paused between their decision and their
     *     renewals, 0 or more
     * @return the time in milliseconds
     */
    public long maxPartialRunMillis(int pausedKeepers) {
        return ttlMillis * (1L + pausedKeepers) + maxRenewalDelayMillis();
    }

    /**
     * Returns the time for which a job waits before its next attempt if its gang was lost and a
     * member cannot be reached. After this time every keeper has read the record of the loss or has
     * no valid view, and the last lease has lapsed, even if one keeper was paused.
     *
     * @return the time in milliseconds
     */
    public long retryDelayAfterLossMillis() {
        return viewAgeMillis + maxPartialRunMillis(1);
    }
}
