package org.fescueloom.placement;

/** Tracks the state of one gang during a planning round. Mutable. */
final class RunningGang {
    /**
     * The run time that a gang is assumed to lose when it resumes from its checkpoint, in
     * milliseconds.
     */
    static final long RESUME_COST_MILLIS = 60_000L;

    /** The time after which a stopping gang is expected to have ended, in milliseconds. */
    private static final long EXPECTED_STOP_MILLIS = 2_000L;

    /**
     * The shortest time for which a gang past its expected end is expected to run on, in
     * milliseconds.
     */
    private static final long MIN_OVERRUN_MILLIS = 60_000L;

    /**
     * The shortest run time after which a gang may be preempted for a shorter job, in milliseconds.
     */
    private static final long MIN_RUN_MILLIS = 600_000L;

    /** The weight of an urgent gang's lost work compared with that of other gangs. */
    private static final long URGENT_LOSS_FACTOR = 1_000L;

    private final Allocation allocation;
    private final int accelerators;
    private final boolean claimsValid;
    private final boolean startedThisRound;
    private boolean capacityReleased;

    /**
     * Creates the state of a gang.
     *
     * @param allocation the gang, not null
     * @param claimsValid whether the gang has valid claims on guaranteed blocks
     * @param startedThisRound whether this round decided to start the gang
     */
    RunningGang(Allocation allocation, boolean claimsValid, boolean startedThisRound) {
        this.allocation = allocation;
        this.accelerators = allocation.accelerators();
        this.claimsValid = claimsValid;
        this.startedThisRound = startedThisRound;
    }

    Allocation allocation() {
        return allocation;
    }

    boolean hasValidClaims() {
        return claimsValid;
    }

    boolean isStartedThisRound() {
        return startedThisRound;
    }

    boolean isStopping() {
        return allocation.stopping();
    }

    /** Returns whether this round has released the gang's capacity for another job. */
    boolean isCapacityReleased() {
        return capacityReleased;
    }

    void markCapacityReleased() {
        capacityReleased = true;
    }

    /**
     * Returns the time at which the gang is expected to end. A gang past its expected end is
     * expected to run for another half of its elapsed time, but at least {@link
     * #MIN_OVERRUN_MILLIS}.
     */
    long expectedEndMillis(long nowMillis) {
        if (allocation.stopping()) {
            return nowMillis + EXPECTED_STOP_MILLIS;
        }
        if (allocation.expectedEndMillis() > nowMillis) {
            return allocation.expectedEndMillis();
        }
        long elapsed = nowMillis - allocation.startedAtMillis();
        return nowMillis + Math.max(MIN_OVERRUN_MILLIS, elapsed / 2);
    }

    /**
     * Returns whether the gang may be preempted for a shorter job: the gang has no valid claims, is
     * not urgent, can resume from a checkpoint, has run for at least {@link #MIN_RUN_MILLIS}, is
     * not stopping, and is expected to run for longer than the given time.
     */
    boolean canYieldToShorterJob(long minRemainingMillis, long nowMillis) {
        boolean resumable = allocation.spec().checkpointable() && !allocation.spec().urgent();
        boolean ranMinTime = nowMillis - allocation.startedAtMillis() >= MIN_RUN_MILLIS;
        boolean longer = expectedEndMillis(nowMillis) - nowMillis > minRemainingMillis;
        return resumable
                && ranMinTime
                && longer
                && !claimsValid
                && !startedThisRound
                && !allocation.stopping();
    }

    /**
     * Returns the work that is lost if the gang is stopped, in accelerator milliseconds; 0 if the
     * gang is stopping already or this round decided to start it. A gang without accelerators
     * counts as a gang with one accelerator. The work of an urgent gang is multiplied by {@link
     * #URGENT_LOSS_FACTOR}.
     */
    long lostAcceleratorMillis(long nowMillis) {
        if (allocation.stopping() || startedThisRound) {
            return 0L;
        }
        boolean checkpointable = allocation.spec().checkpointable();
        long lostMillis =
                checkpointable ? 0L : Math.max(0L, nowMillis - allocation.startedAtMillis());
        long weight = Math.max(1, accelerators);
        long urgencyFactor = allocation.spec().urgent() ? URGENT_LOSS_FACTOR : 1L;
        return weight * (lostMillis + RESUME_COST_MILLIS) * urgencyFactor;
    }
}
