package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Looks for gangs to move so that a reserved job can start now.
 *
 * <p>Only gangs that can be resumed from a checkpoint are moved, only if all of them fit elsewhere
 * at once, and only if the waiting that is saved is at least {@link #LEAST_GAIN} times the work
 * that is lost.
 */
final class Compactor {
    private static final int LEAST_GAIN = 2;
    private static final int MOST_TRIES = 8;

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
    Optional<Eviction> find(WaitingJob job, long expectedStartMillis) {
        long saved = savedMillis(job, expectedStartMillis);
        List<Eviction> candidates = search.find(job, null, Compactor::isMovable);
        return candidates.stream()
                .limit(MOST_TRIES)
                .filter(e -> !e.victims().isEmpty() && saved >= LEAST_GAIN * e.costMillis())
                .filter(e -> canResumeElsewhere(job, e))
                .findFirst();
    }

    /** Returns the waiting that an immediate start saves, in accelerator milliseconds. */
    long savedMillis(WaitingJob job, long expectedStartMillis) {
        return (expectedStartMillis - nowMillis) * job.totalAccelerators();
    }

    private static boolean isMovable(RunningGang gang) {
        Allocation allocation = gang.allocation();
        return allocation.spec().checkpointable()
                && !allocation.spec().urgent()
                && !gang.isEnding()
                && !gang.isFresh();
    }

    private boolean canResumeElsewhere(WaitingJob job, Eviction eviction) {
        FreeCapacity after = free.copy();
        for (RunningGang gang : eviction.victims()) {
            after.give(gang.allocation().spec(), gang.allocation().members());
        }
        after.take(job.spec(), eviction.members());
        List<RunningGang> moved = new ArrayList<>(eviction.victims());
        moved.sort((a, b) -> b.allocation().accelerators() - a.allocation().accelerators());
        for (RunningGang gang : moved) {
            Optional<List<TaskPlacement>> place =
                    fitter.fit(after, gang.allocation().spec(), java.util.Set.of());
            if (place.isEmpty()) {
                return false;
            }
            after.take(gang.allocation().spec(), place.get());
        }
        return true;
    }
}
