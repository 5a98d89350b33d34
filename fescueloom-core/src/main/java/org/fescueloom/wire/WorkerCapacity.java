package org.fescueloom.wire;

import java.util.Objects;

/**
 * Describes the location and the capacity of a worker.
 *
 * @param rack the name of the worker's rack, not null
 * @param position the position of the worker in the rack, from 0
 * @param accelerators the number of accelerators
 * @param cpus the number of processor cores
 * @param memoryMb the memory, in mebibytes
 */
public record WorkerCapacity(String rack, int position, int accelerators, int cpus, long memoryMb) {
    /** Checks that the rack is not null. */
    public WorkerCapacity {
        Objects.requireNonNull(rack, "rack");
    }
}
