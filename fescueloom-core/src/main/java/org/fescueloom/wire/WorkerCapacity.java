package org.fescueloom.wire;

import java.util.Objects;

/**
 * Describes what a worker has.
 *
 * @param rack the rack that the worker stands in, not null
 * @param position the place in the rack, from 0
 * @param accelerators how many accelerators
 * @param cpus how many processor cores
 * @param memoryMb the memory, in mebibytes
 */
public record WorkerCapacity(String rack, int position, int accelerators, int cpus, long memoryMb) {
    /** Checks that the rack is given. */
    public WorkerCapacity {
        Objects.requireNonNull(rack, "rack");
    }
}
