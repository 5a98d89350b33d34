package org.fescueloom.placement;

/** Follows one gang through a planning round. Mutable. */
final class RunningGang {
    /** What it costs to resume a gang from its checkpoint, in milliseconds. */
    static final long RESUME_COST_MILLIS = 60_000L;

    private static final long EXPECTED_STOP_MILLIS = 2_000L;
    private static final long MIN_OVERRUN_MILLIS = 60_000L;

    private static final long MIN_RUN_MILLIS = 600_000L;
    private static final long URGENT_LOSS_FACTOR = 1_000L;

    private final Allocation allocation;
    private final int accelerators;
    private final boolean claimsValid;
    private final boolean startedThisRound;
    private boolean removed;

    /**
     * Creates the state of a gang.
     *
     * @param allocation the gang, not null
     * @param claimsValid whether its claims on guaranteed blocks are valid
     * @param startedThisRound whether it was decided to start in this round
     */
    RunningGang(Allocation allocation, boolean claimed, boolean fresh) {
        this.allocation = allocation;
        this.accelerators = allocation.accelerators();
        this.claimsValid = claimed;
        this.startedThisRound = fresh;
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

    /** Tells whether this round has given the gang's place to another one. */
    boolean isRemoved() {
        return removed;
    }

    void markRemoved() {
        removed = true;
    }

    /** Returns when the gang is expected to be gone; one that overruns is expected to go on. */
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

    /** Tells whether the gang is a borrower that can be resumed and still runs for longer. */
    boolean canYieldToShorterJob(long millis, long nowMillis) {
        boolean resumable = allocation.spec().checkpointable() && !allocation.spec().urgent();
        boolean settled = nowMillis - allocation.startedAtMillis() >= MIN_RUN_MILLIS;
        boolean longer = expectedEndMillis(nowMillis) - nowMillis > millis;
        return resumable
                && settled
                && longer
                && !claimsValid
                && !startedThisRound
                && !allocation.stopping();
    }

    /** Returns the work lost when the gang is stopped, in accelerator milliseconds. */
    long lostAcceleratorMillis(long nowMillis) {
        if (allocation.stopping() || startedThisRound) {
            return 0L;
        }
        boolean saves = allocation.spec().checkpointable();
        long lost = saves ? 0L : Math.max(0L, nowMillis - allocation.startedAtMillis());
        long weight = Math.max(1, accelerators);
        long urgency = allocation.spec().urgent() ? URGENT_LOSS_FACTOR : 1L;
        return weight * (lost + RESUME_COST_MILLIS) * urgency;
    }
}
