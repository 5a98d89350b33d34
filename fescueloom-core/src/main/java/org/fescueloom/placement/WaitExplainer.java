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

    private WaitReason reason(WaitingJob job, int bestTasks, int allTasks) {
        if (bestTasks >= job.spec().tasks()) {
            return WaitReason.RESERVED_FOR_OTHER;
        }
        boolean fragmented =
                allTasks >= job.spec().tasks() || freeAccelerators() >= neededAccelerators(job);
        return fragmented ? WaitReason.FRAGMENTED : WaitReason.NO_CAPACITY;
    }

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
