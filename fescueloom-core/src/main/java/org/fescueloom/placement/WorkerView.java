package org.fescueloom.placement;

import java.util.Objects;

/**
 * Describes one worker as the planner sees it.
 *
 * @param worker the identifier, not null
 * @param zone the availability zone, not null
 * @param rack the rack, unique in all zones, not null
 * @param position the place in the rack, from 0
 * @param accelerators how many accelerators, from 0 to 64
 * @param cpus how many processor cores
 * @param memoryMb the memory, in mebibytes
 * @param condition whether the worker can take tasks, not null
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
    /** The most accelerators that one worker may have. */
    public static final int MAX_ACCELERATORS = 64;

    /** Checks the names and the number of accelerators. */
    public WorkerView {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(condition, "condition");
        if (accelerators < 0 || accelerators > MAX_ACCELERATORS) {
            throw new IllegalArgumentException("accelerators out of range: " + accelerators);
        }
    }

    /**
     * Returns this worker in another condition.
     *
     * @param newCondition the condition, not null
     * @return the worker, never null
     */
    public WorkerView withCondition(WorkerCondition newCondition) {
        return new WorkerView(
                worker, zone, rack, position, accelerators, cpus, memoryMb, newCondition);
    }
}
