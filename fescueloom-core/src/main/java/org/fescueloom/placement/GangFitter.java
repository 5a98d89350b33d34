package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescueloom.job.JobSpec;

/** Finds workers that can hold all tasks of a gang. */
final class GangFitter {
    private final Topology topology;
    private final WorkerOrder order;

    /**
     * Creates a fitter.
     *
     * @param topology the topology of the workers, not null
     * @param order the order in which workers are preferred, not null
     */
    GangFitter(Topology topology, WorkerOrder order) {
        this.topology = topology;
        this.order = order;
    }

    /**
     * Places a gang within one of the topology domains that its adjacency allows: with the order
     * {@code LISTED}, in the first domain that can hold the gang, otherwise in the domain with the
     * lowest cost.
     *
     * @param capacity the capacity that may be used, not null
     * @param spec the specification of the gang, not null
     * @param avoided the workers that must not be used, not null
     * @return one placement for each task, or empty if no domain can hold all tasks
     */
    Optional<List<TaskPlacement>> fit(Capacity capacity, JobSpec spec, Set<String> avoided) {
        boolean usesAccelerators = spec.acceleratorsPerTask() > 0;
        TopologyDomain bestDomain = null;
        long bestCost = Long.MAX_VALUE;
        for (TopologyDomain domain : topology.domains(spec.adjacency())) {
            if (!canHold(capacity, spec, avoided, domain)) {
                continue;
            }
            if (order == WorkerOrder.LISTED) {
                return fit(capacity, spec, avoided, domain);
            }
            long cost = cost(capacity, domain, usesAccelerators);
            if (cost < bestCost) {
                bestCost = cost;
                bestDomain = domain;
            }
        }
        return bestDomain == null ? Optional.empty() : fit(capacity, spec, avoided, bestDomain);
    }

    /**
     * Places a gang within one topology domain.
     *
     * @param capacity the capacity that may be used, not null
     * @param spec the specification of the gang, not null
     * @param avoided the workers that must not be used, not null
     * @param domain the topology domain, not null
     * @return one placement for each task, or empty if the domain cannot hold all tasks
     */
    Optional<List<TaskPlacement>> fit(
            Capacity capacity, JobSpec spec, Set<String> avoided, TopologyDomain domain) {
        if (!canHold(capacity, spec, avoided, domain)) {
            return Optional.empty();
        }
        List<TaskPlacement> members = new ArrayList<>(spec.tasks());
        for (int workerIndex : sortByPreference(capacity, spec, domain)) {
            int count =
                    Math.min(
                            spec.tasks() - members.size(),
                            tasksThatFit(capacity, spec, avoided, workerIndex));
            long free = capacity.accelerators(workerIndex);
            for (int i = 0; i < count; i++) {
                long chosen = AcceleratorSets.choose(free, spec.acceleratorsPerTask());
                free &= ~chosen;
                members.add(
                        new TaskPlacement(
                                members.size(),
                                topology.worker(workerIndex).worker(),
                                AcceleratorSets.indexes(chosen)));
            }
            if (members.size() == spec.tasks()) {
                break;
            }
        }
        return Optional.of(members);
    }

    /** Returns whether a topology domain can hold all tasks of a gang. */
    boolean canHold(Capacity capacity, JobSpec spec, Set<String> avoided, TopologyDomain domain) {
        int placed = 0;
        for (int workerIndex : domain.workers()) {
            placed += tasksThatFit(capacity, spec, avoided, workerIndex);
            if (placed >= spec.tasks()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the number of tasks of a gang that one worker can hold, at most all of them. */
    int tasksThatFit(Capacity capacity, JobSpec spec, Set<String> avoided, int workerIndex) {
        long count = spec.tasks();
        if (spec.acceleratorsPerTask() > 0) {
            int free = Long.bitCount(capacity.accelerators(workerIndex));
            if (free < spec.acceleratorsPerTask()) {
                return 0;
            }
            count = Math.min(count, free / spec.acceleratorsPerTask());
        }
        if (spec.cpus() > 0) {
            int free = capacity.cpus(workerIndex);
            if (free < spec.cpus()) {
                return 0;
            }
            count = Math.min(count, free / spec.cpus());
        }
        WorkerView workerView = topology.worker(workerIndex);
        boolean acceptsTasks = workerView.condition().acceptsTasks();
        if (!acceptsTasks || !avoided.isEmpty() && avoided.contains(workerView.worker())) {
            return 0;
        }
        if (spec.memoryMb() > 0) {
            // The count is negative if reservations hold more memory than is free.
            count = Math.min(count, capacity.memoryMb(workerIndex) / spec.memoryMb());
        }
        if (workerView.condition() == WorkerCondition.ON_PROBATION) {
            boolean hasOneTask = spec.tasks() == 1;
            // A worker with no core in use counts as idle.
            boolean idle = capacity.cpus(workerIndex) == workerView.cpus();
            return hasOneTask && idle ? (int) Math.max(0, count) : 0;
        }
        return (int) Math.max(0, count);
    }

    private long cost(Capacity capacity, TopologyDomain domain, boolean usesAccelerators) {
        long cost = 0L;
        for (int workerIndex : domain.workers()) {
            cost += order.cost(topology, capacity, workerIndex, usesAccelerators);
        }
        return cost;
    }

    /** Returns the workers of a topology domain by cost; workers of equal cost keep their order. */
    private int[] sortByPreference(Capacity capacity, JobSpec spec, TopologyDomain domain) {
        int[] workers = domain.workers();
        if (order == WorkerOrder.LISTED || workers.length == 1) {
            return workers;
        }
        boolean usesAccelerators = spec.acceleratorsPerTask() > 0;
        long[] keys = new long[workers.length];
        for (int i = 0; i < workers.length; i++) {
            long cost = order.cost(topology, capacity, workers[i], usesAccelerators);
            // The key orders by cost and then by i, and contains i as the remainder.
            keys[i] = cost * workers.length + i;
        }
        Arrays.sort(keys);
        int[] sorted = new int[workers.length];
        for (int i = 0; i < keys.length; i++) {
            sorted[i] = workers[(int) (keys[i] % workers.length)];
        }
        return sorted;
    }
}
