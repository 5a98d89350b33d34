package org.fescueloom.placement;

import java.util.Objects;

/**
 * Describes one worker as the planner sees it.
 *
 * @param worker the identifier, not null
 * @param zone the availability zone, not null
 * @param rack the rack, unique across all zones, not null
 * @param position the position in the rack, from 0
 * @param accelerators the number of accelerators, from 0 to 64
 * @param cpus the number of processor cores
 * @param memoryMb the memory, in mebibytes
 * @param condition the condition, which decides whether the worker accepts tasks, not null
 */
public record WorkerView(
        String worker,
        String zone,
        String rack,
        int position,
        int accelerators,
        int cpus,
        long memoryMb,
        WorkerCondition condition) {
    /** The maximum number of accelerators of one worker. */
    public static final int MAX_ACCELERATORS = 64;

    /** Checks that the references are not null and that the number of accelerators is in range. */
    public WorkerView {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(condition, "condition");
        if (accelerators < 0 || accelerators > MAX_ACCELERATORS) {
            throw new IllegalArgumentException(
                    "accelerators out of range: got "
                            + accelerators
                            + ", expected 0 to "
                            + MAX_ACCELERATORS);
        }
    }

    /**
     * Returns a copy of this worker with another condition.
     *
     * @param newCondition the condition, not null
     * @return the copy, never null
     */
    public WorkerView withCondition(WorkerCondition newCondition) {
        return new WorkerView(
                worker, zone, rack, position, accelerators, cpus, memoryMb, newCondition);
    }
}
