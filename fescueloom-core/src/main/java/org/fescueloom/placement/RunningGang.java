package org.fescueloom.placement;

/** Follows one gang through a planning round. Mutable. */
final class RunningGang {
    /** What it costs to resume a gang from its checkpoint, in milliseconds. */
    static final long RESTART_MILLIS = 60_000L;

    private static final long ENDING_MILLIS = 2_000L;
    private static final long OVERRUN_MILLIS = 60_000L;

    private static final long LEAST_RUN_MILLIS = 600_000L;
    private static final long URGENT_FACTOR = 1_000L;

    private final Allocation allocation;
    private final boolean claimed;
    private final boolean fresh;
    private boolean gone;

    /**
     * Creates the state of a gang.
     *
     * @param allocation the gang, not null
     * @param claimed whether its claims on guaranteed blocks are valid
     * @param fresh whether it was decided to start in this round
     */
    RunningGang(Allocation allocation, boolean claimed, boolean fresh) {
        this.allocation = allocation;
        this.claimed = claimed;
        this.fresh = fresh;
    }

    Allocation allocation() {
        return allocation;
    }

    boolean isClaimed() {
        return claimed;
    }

    boolean isFresh() {
        return fresh;
    }

    boolean isEnding() {
        return allocation.ending();
    }

    /** Tells whether this round has given the gang's place to another one. */
    boolean isGone() {
        return gone;
    }

    void markGone() {
        gone = true;
    }

    /** Returns when the gang is expected to be gone; one that overruns is expected to go on. */
    long expectedEndMillis(long nowMillis) {
        if (allocation.ending()) {
            return nowMillis + ENDING_MILLIS;
        }
        if (allocation.expectedEndMillis() > nowMillis) {
            return allocation.expectedEndMillis();
        }
        long elapsed = nowMillis - allocation.startedAtMillis();
        return nowMillis + Math.max(OVERRUN_MILLIS, elapsed / 2);
    }

    /** Tells whether the gang is a borrower that can be resumed and still runs for longer. */
    boolean isLongerThan(long millis, long nowMillis) {
        boolean resumable = allocation.spec().checkpointable() && !allocation.spec().urgent();
        boolean settled = nowMillis - allocation.startedAtMillis() >= LEAST_RUN_MILLIS;
        boolean longer = expectedEndMillis(nowMillis) - nowMillis > millis;
        return resumable && settled && longer && !claimed && !fresh && !allocation.ending();
    }

    /** Returns the work lost when the gang is stopped, in accelerator milliseconds. */
    long lossMillis(long nowMillis) {
        if (allocation.ending() || fresh) {
            return 0L;
        }
        boolean saves = allocation.spec().checkpointable();
        long lost = saves ? 0L : Math.max(0L, nowMillis - allocation.startedAtMillis());
        long weight = Math.max(1, allocation.accelerators());
        long urgency = allocation.spec().urgent() ? URGENT_FACTOR : 1L;
        return weight * (lost + RESTART_MILLIS) * urgency;
    }
}
