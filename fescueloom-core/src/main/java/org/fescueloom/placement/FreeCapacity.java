package org.fescueloom.placement;

import java.util.List;
import org.fescueloom.job.JobSpec;

/** Tracks the free capacity of each worker. Mutable; an instance belongs to one planning round. */
final class FreeCapacity implements Capacity {
    private final Topology topology;
    private final long[] accelerators;
    private final int[] cpus;
    private final long[] memoryMb;

    private FreeCapacity(Topology topology, long[] accelerators, int[] cpus, long[] memoryMb) {
        this.topology = topology;
        this.accelerators = accelerators;
        this.cpus = cpus;
        this.memoryMb = memoryMb;
    }

    /** Returns the capacity of the workers when nothing runs on them. */
    static FreeCapacity ofIdleWorkers(Topology topology) {
        int size = topology.size();
        FreeCapacity capacity =
                new FreeCapacity(topology, new long[size], new int[size], new long[size]);
        for (int i = 0; i < size; i++) {
            WorkerView worker = topology.worker(i);
            capacity.accelerators[i] = AcceleratorSets.first(worker.accelerators());
            capacity.cpus[i] = worker.cpus();
            capacity.memoryMb[i] = worker.memoryMb();
        }
        return capacity;
    }

    FreeCapacity copy() {
        return new FreeCapacity(topology, accelerators.clone(), cpus.clone(), memoryMb.clone());
    }

    @Override
    public long accelerators(int worker) {
        return accelerators[worker];
    }

    @Override
    public int cpus(int worker) {
        return cpus[worker];
    }

    @Override
    public long memoryMb(int worker) {
        return memoryMb[worker];
    }

    /**
     * Subtracts the resources that the tasks of a gang use; tasks on unknown workers are ignored.
     */
    void allocate(JobSpec spec, List<TaskPlacement> members) {
        for (TaskPlacement member : members) {
            int worker = topology.indexOf(member.worker());
            if (worker != Topology.UNKNOWN_WORKER) {
                accelerators[worker] &= ~AcceleratorSets.of(member.accelerators());
                cpus[worker] -= spec.cpus();
                memoryMb[worker] -= spec.memoryMb();
            }
        }
    }

    /**
     * Adds back the resources that the tasks of a gang use; tasks on unknown workers are ignored.
     */
    void release(JobSpec spec, List<TaskPlacement> members) {
        for (TaskPlacement member : members) {
            int worker = topology.indexOf(member.worker());
            if (worker != Topology.UNKNOWN_WORKER) {
                accelerators[worker] |= AcceleratorSets.of(member.accelerators());
                cpus[worker] += spec.cpus();
                memoryMb[worker] += spec.memoryMb();
            }
        }
    }
}
