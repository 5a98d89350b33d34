package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Looks for gangs to move so that a reserved job can start now.
 *
 * <p>Only gangs that can be resumed from a checkpoint are moved, only if all of them fit elsewhere
 * at once, and only if the waiting that is saved is at least {@link #MIN_GAIN_FACTOR} times the
 * work that is lost.
 */
final class Compactor {
    private static final int MIN_GAIN_FACTOR = 2;
    private static final int MAX_CANDIDATES = 8;

    private final GangFitter fitter;
    private final FreeCapacity free;
    private final EvictionSearch search;
    private final long nowMillis;

    Compactor(GangFitter fitter, FreeCapacity free, EvictionSearch search, long nowMillis) {
        this.fitter = fitter;
        this.free = free;
        this.search = search;
        this.nowMillis = nowMillis;
    }

    /**
     * Looks for the cheapest set of gangs to move.
     *
     * @param job the job that would start, not null
     * @param expectedStartMillis when it would start otherwise, in milliseconds since the epoch
     * @return the gangs to move and the job's place, or empty if no move pays
     */
    Optional<EvictionPlan> findMoves(WaitingJob job, long expectedStartMillis) {
        long saved = savedAcceleratorMillis(job, expectedStartMillis);
        List<EvictionPlan> candidates = search.find(job, null, Compactor::isMovable);
        return candidates.stream()
                .limit(MAX_CANDIDATES)
                .filter(
                        e ->
                                !e.victims().isEmpty()
                                        && saved >= MIN_GAIN_FACTOR * e.lostAcceleratorMillis())
                .filter(e -> canResumeElsewhere(job, e))
                .findFirst();
    }

    /** Returns the waiting that an immediate start saves, in accelerator milliseconds. */
    long savedAcceleratorMillis(WaitingJob job, long expectedStartMillis) {
        return (expectedStartMillis - nowMillis) * job.totalAccelerators();
    }

    private static boolean isMovable(RunningGang gang) {
        Allocation allocation = gang.allocation();
        return allocation.spec().checkpointable()
                && !allocation.spec().urgent()
                && !gang.isStopping()
                && !gang.isStartedThisRound();
    }

    private boolean canResumeElsewhere(WaitingJob job, EvictionPlan eviction) {
        FreeCapacity after = free.copy();
        for (RunningGang gang : eviction.victims()) {
            after.release(gang.allocation().spec(), gang.allocation().members());
        }
        after.allocate(job.spec(), eviction.members());
        List<RunningGang> moved = new ArrayList<>(eviction.victims());
        moved.sort((a, b) -> b.allocation().accelerators() - a.allocation().accelerators());
        for (RunningGang gang : moved) {
            Optional<List<TaskPlacement>> place =
                    fitter.fit(after, gang.allocation().spec(), java.util.Set.of());
            if (place.isEmpty()) {
                return false;
            }
            after.allocate(gang.allocation().spec(), place.get());
        }
        return true;
    }
}
