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

    /** Returns the total capacity of the workers, as if nothing ran on them. */
    static FreeCapacity allFree(Topology topology) {
        int size = topology.size();
        FreeCapacity capacity =
                new FreeCapacity(topology, new long[size], new int[size], new long[size]);
        for (int i = 0; i < size; i++) {
            WorkerView workerView = topology.worker(i);
            capacity.accelerators[i] = AcceleratorSets.first(workerView.accelerators());
            capacity.cpus[i] = workerView.cpus();
            capacity.memoryMb[i] = workerView.memoryMb();
        }
        return capacity;
    }

    FreeCapacity copy() {
        return new FreeCapacity(topology, accelerators.clone(), cpus.clone(), memoryMb.clone());
    }

    @Override
    public long accelerators(int workerIndex) {
        return accelerators[workerIndex];
    }

    @Override
    public int cpus(int workerIndex) {
        return cpus[workerIndex];
    }

    @Override
    public long memoryMb(int workerIndex) {
        return memoryMb[workerIndex];
    }

    /**
     * Subtracts the resources that the tasks of a gang use; tasks on unknown workers are ignored.
     */
    void allocate(JobSpec spec, List<TaskPlacement> members) {
        for (TaskPlacement member : members) {
            int workerIndex = topology.indexOf(member.worker());
            if (workerIndex != Topology.UNKNOWN_WORKER) {
                accelerators[workerIndex] &= ~AcceleratorSets.of(member.accelerators());
                cpus[workerIndex] -= spec.cpus();
                memoryMb[workerIndex] -= spec.memoryMb();
            }
        }
    }

    /**
     * Adds back the resources that the tasks of a gang use; tasks on unknown workers are ignored.
     */
    void release(JobSpec spec, List<TaskPlacement> members) {
        for (TaskPlacement member : members) {
            int workerIndex = topology.indexOf(member.worker());
            if (workerIndex != Topology.UNKNOWN_WORKER) {
                accelerators[workerIndex] |= AcceleratorSets.of(member.accelerators());
                cpus[workerIndex] += spec.cpus();
                memoryMb[workerIndex] += spec.memoryMb();
            }
        }
    }
}
