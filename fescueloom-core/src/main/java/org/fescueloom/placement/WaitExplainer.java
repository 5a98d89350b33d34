package org.fescueloom.placement;

import java.util.List;

/** Determines why a job does not start. */
final class WaitExplainer {
    /** The maximum number of jobs that are named as holders of the missing capacity. */
    private static final int MAX_HOLDERS = 3;

    private final Topology topology;
    private final GangFitter fitter;
    private final FreeCapacity freeCapacity;
    private final RunningGangs gangs;

    WaitExplainer(
            Topology topology, GangFitter fitter, FreeCapacity freeCapacity, RunningGangs gangs) {
        this.topology = topology;
        this.fitter = fitter;
        this.freeCapacity = freeCapacity;
        this.gangs = gangs;
    }

    /**
     * Explains why a job does not fit into the capacity that is available to it.
     *
     * @param job the job, not null
     * @param expectedStartMillis the time at which the job is expected to start, in milliseconds
     *     since the epoch; 0 if unknown
     * @return the decision to wait, never null
     */
    WaitForCapacity explain(WaitingJob job, long expectedStartMillis) {
        TopologyDomain bestDomain = null;
        int bestTasks = -1;
        int allTasks = 0;
        for (TopologyDomain domain : topology.domains(job.spec().adjacency())) {
            int tasks = 0;
            for (int workerIndex : domain.workers()) {
                tasks +=
                        fitter.tasksThatFit(
                                freeCapacity, job.spec(), job.avoidedWorkers(), workerIndex);
            }
            allTasks += tasks;
            if (tasks > bestTasks) {
                bestTasks = tasks;
                bestDomain = domain;
            }
        }
        WaitReason reason = reason(job, bestTasks, allTasks);
        List<String> holders = bestDomain == null ? List.of() : holders(bestDomain);
        String missingShape =
                "%s; free capacity for %d of %d tasks in %s"
                        .formatted(
                                JobFeasibility.describe(job.spec()),
                                Math.max(0, Math.min(bestTasks, job.spec().tasks())),
                                job.spec().tasks(),
                                bestDomain == null ? "no worker" : bestDomain.name());
        return new WaitForCapacity(job.job(), reason, missingShape, holders, expectedStartMillis);
    }

    /**
     * Returns the reason for which a job waits.
     *
     * @param bestTasks the number of tasks that the topology domain with the most capacity can hold
     * @param allTasks the number of tasks that all topology domains together can hold
     */
    private WaitReason reason(WaitingJob job, int bestTasks, int allTasks) {
        if (bestTasks >= job.spec().tasks()) {
            return WaitReason.RESERVED_FOR_OTHER;
        }
        boolean fragmented =
                allTasks >= job.spec().tasks() || freeAccelerators() >= neededAccelerators(job);
        return fragmented ? WaitReason.FRAGMENTED : WaitReason.NO_CAPACITY;
    }

    /**
     * Returns the number of accelerators that a job needs. For a job without accelerators, the
     * number is greater than any number of free accelerators, so that free accelerators do not make
     * the capacity for this job count as fragmented.
     */
    private static int neededAccelerators(WaitingJob job) {
        int accelerators = job.totalAccelerators();
        return accelerators == 0 ? Integer.MAX_VALUE : accelerators;
    }

    private int freeAccelerators() {
        int count = 0;
        for (int workerIndex = 0; workerIndex < topology.size(); workerIndex++) {
            boolean acceptsTasks = topology.worker(workerIndex).condition().acceptsTasks();
            count += acceptsTasks ? Long.bitCount(freeCapacity.accelerators(workerIndex)) : 0;
        }
        return count;
    }

    private List<String> holders(TopologyDomain domain) {
        return gangs.inDomain(domain).stream()
                .map(g -> g.allocation().job())
                .limit(MAX_HOLDERS)
                .toList();
    }
}
