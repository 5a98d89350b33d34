package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Indexes the gangs of a planning round by worker. */
final class RunningGangs {
    private final List<RunningGang> gangs = new ArrayList<>();
    private final List<List<RunningGang>> byWorker = new ArrayList<>();
    private final Topology topology;

    RunningGangs(Topology topology) {
        this.topology = topology;
        for (int i = 0; i < topology.size(); i++) {
            byWorker.add(new ArrayList<>());
        }
    }

    void add(RunningGang gang) {
        gangs.add(gang);
        Set<Integer> workers = new LinkedHashSet<>();
        for (TaskPlacement member : gang.allocation().members()) {
            workers.add(topology.indexOf(member.worker()));
        }
        workers.remove(Topology.UNKNOWN_WORKER);
        workers.forEach(w -> byWorker.get(w).add(gang));
    }

    /** Returns the gangs whose capacity this round has not released. */
    List<RunningGang> remaining() {
        return gangs.stream().filter(g -> !g.isCapacityReleased()).toList();
    }

    /** Returns the remaining gangs that have a task on any worker of a topology domain. */
    Set<RunningGang> inDomain(TopologyDomain domain) {
        Set<RunningGang> found = new LinkedHashSet<>();
        for (int workerIndex : domain.workers()) {
            for (RunningGang gang : byWorker.get(workerIndex)) {
                if (!gang.isCapacityReleased()) {
                    found.add(gang);
                }
            }
        }
        return found;
    }
}
