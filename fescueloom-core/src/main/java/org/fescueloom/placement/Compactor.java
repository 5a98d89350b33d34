package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Finds gangs to move so that a job with a reservation can start now.
 *
 * <p>Only non-urgent gangs that can resume from a checkpoint are moved, only if all moved gangs fit
 * elsewhere at the same time, and only if the saved waiting time is at least {@link
 * #MIN_GAIN_FACTOR} times the lost work.
 */
final class Compactor {
    /**
     * Gangs are moved only if the saved waiting time is at least this multiple of the lost work.
     */
    private static final int MIN_GAIN_FACTOR = 2;

    /** The maximum number of preemption plans that are examined for one job. */
    private static final int MAX_CANDIDATES = 8;

    private final GangFitter fitter;
    private final FreeCapacity freeCapacity;
    private final PreemptionSearch preemptionSearch;
    private final long nowMillis;

    Compactor(
            GangFitter fitter, FreeCapacity freeCapacity, PreemptionSearch search, long nowMillis) {
        this.fitter = fitter;
        this.freeCapacity = freeCapacity;
        this.preemptionSearch = search;
        this.nowMillis = nowMillis;
    }

    /**
     * Finds, among the first {@link #MAX_CANDIDATES} preemption plans, the first one that saves
     * enough waiting time and whose victims can all resume elsewhere.
     *
     * @param job the job that is to start, not null
     * @param expectedStartMillis the time at which the job would start without a move, in
     *     milliseconds since the epoch
     * @return the gangs to move and the placement of the job, or empty if no move saves enough
     */
    Optional<PreemptionPlan> findMoves(WaitingJob job, long expectedStartMillis) {
        long savedAcceleratorMillis = savedAcceleratorMillis(job, expectedStartMillis);
        List<PreemptionPlan> candidates = preemptionSearch.find(job, null, Compactor::isMovable);
        return candidates.stream()
                .limit(MAX_CANDIDATES)
                .filter(
                        plan ->
                                !plan.victims().isEmpty()
                                        && savedAcceleratorMillis
                                                >= MIN_GAIN_FACTOR * plan.lostAcceleratorMillis())
                .filter(plan -> canResumeElsewhere(job, plan))
                .findFirst();
    }

    /**
     * Returns the waiting time that an immediate start saves, in accelerator milliseconds:
     * milliseconds multiplied by the accelerators of the job.
     */
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

    /**
     * Returns whether the job and all victims of a plan fit at the same time. The victims are
     * placed after the job, those with the most accelerators first.
     */
    private boolean canResumeElsewhere(WaitingJob job, PreemptionPlan preemptionPlan) {
        FreeCapacity freeAfterMoves = freeCapacity.copy();
        for (RunningGang gang : preemptionPlan.victims()) {
            freeAfterMoves.release(gang.allocation().spec(), gang.allocation().members());
        }
        freeAfterMoves.allocate(job.spec(), preemptionPlan.members());
        List<RunningGang> movedGangs = new ArrayList<>(preemptionPlan.victims());
        movedGangs.sort((a, b) -> b.allocation().accelerators() - a.allocation().accelerators());
        for (RunningGang gang : movedGangs) {
            Optional<List<TaskPlacement>> placement =
                    fitter.fit(freeAfterMoves, gang.allocation().spec(), java.util.Set.of());
            if (placement.isEmpty()) {
                return false;
            }
            freeAfterMoves.allocate(gang.allocation().spec(), placement.get());
        }
        return true;
    }
}
