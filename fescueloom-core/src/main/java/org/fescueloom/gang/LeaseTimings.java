package org.fescueloom.gang;

/**
 * Holds the times by which gangs are started and kept.
 *
 * @param ttlMillis how long a lease lives without renewal, in milliseconds
 * @param pollMillis the time between two rounds of a keeper, in milliseconds
 * @param callTimeoutMillis the time after which a call to a worker is given up, in milliseconds
 * @param startBoundMillis the time within which all members must run, in milliseconds
 * @param viewAgeMillis the age at which a keeper's view of the {@code jobs} stream no longer
 *     counts, in milliseconds
 */
public record LeaseTimings(
        long ttlMillis,
        long pollMillis,
        long callTimeoutMillis,
        long startBoundMillis,
        long viewAgeMillis) {
    /** The terms that hold unless settings say otherwise. */
    public static final LeaseTimings DEFAULT =
            new LeaseTimings(6_000L, 1_500L, 500L, 2_500L, 3_000L);

    /**
     * Checks that the times fit together.
     *
     * @throws IllegalArgumentException if a time is not positive, if a lease does not outlive two
     *     rounds with their calls, or if a start outlives the lease
     */
    public LeaseTimings {
        requirePositive("ttlMillis", ttlMillis);
        requirePositive("pollMillis", pollMillis);
        requirePositive("callTimeoutMillis", callTimeoutMillis);
        requirePositive("startBoundMillis", startBoundMillis);
        requirePositive("viewAgeMillis", viewAgeMillis);
        if (ttlMillis <= 2 * (pollMillis + callTimeoutMillis)) {
            throw new IllegalArgumentException("a lease must outlive two rounds of its keeper");
        }
        if (startBoundMillis >= ttlMillis) {
            throw new IllegalArgumentException("a start must end before its leases lapse");
        }
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " must be positive: " + value);
        }
    }

    /**
     * Returns the longest time between the reports that a keeper decides by and the arrival of the
     * renewals that it decides on; older reports are discarded.
     *
     * @return the time in milliseconds
     */
    public long maxRenewalDelayMillis() {
        return 2 * callTimeoutMillis;
    }

    /**
     * Returns the longest time for which some members of a gang may run after another has died.
     *
     * <p>Every renewal after the death rests on reports from before it, so it arrives within {@link
     * #maxRenewalDelayMillis()} and lasts {@link #ttlMillis()}. A keeper that is paused between its
     * decision and its renewals, for less than a lease, adds one more lease.
     *
     * @param pausedKeepers how many keepers are paused at that point, 0 or more
     * @return the time in milliseconds
     */
    public long maxPartialRunMillis(int pausedKeepers) {
        return ttlMillis * (1L + pausedKeepers) + maxRenewalDelayMillis();
    }

    /**
     * Returns how long a job waits after its gang was lost with a member out of reach. By then
     * every keeper has read of the loss or holds no valid view, and the last lease has lapsed.
     *
     * @return the time in milliseconds
     */
    public long retryDelayAfterLossMillis() {
        return viewAgeMillis + maxPartialRunMillis(1);
    }
}
