package org.fescueloom.placement;

import java.util.List;

/** Determines why a job does not start. */
final class WaitExplainer {
    private static final int MAX_HOLDERS = 3;

    private final Topology topology;
    private final GangFitter fitter;
    private final FreeCapacity free;
    private final RunningGangs gangs;

    WaitExplainer(Topology topology, GangFitter fitter, FreeCapacity free, RunningGangs gangs) {
        this.topology = topology;
        this.fitter = fitter;
        this.free = free;
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
        TopologyDomain best = null;
        int bestTasks = -1;
        int allTasks = 0;
        for (TopologyDomain domain : topology.domains(job.spec().adjacency())) {
            int tasks = 0;
            for (int worker : domain.workers()) {
                tasks += fitter.tasksThatFit(free, job.spec(), job.avoidedWorkers(), worker);
            }
            allTasks += tasks;
            if (tasks > bestTasks) {
                bestTasks = tasks;
                best = domain;
            }
        }
        WaitReason reason = reason(job, bestTasks, allTasks);
        List<String> holders = best == null ? List.of() : holders(best);
        String missingShape =
                "%s; free capacity for %d of %d tasks in %s"
                        .formatted(
                                JobFeasibility.describe(job.spec()),
                                Math.max(0, Math.min(bestTasks, job.spec().tasks())),
                                job.spec().tasks(),
                                best == null ? "no worker" : best.name());
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
        for (int worker = 0; worker < topology.size(); worker++) {
            boolean open = topology.worker(worker).condition().acceptsTasks();
            count += open ? Long.bitCount(free.accelerators(worker)) : 0;
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
