package org.fescueloom.placement;

import java.util.List;

/**
 * Describes all workers and the gangs that hold capacity on them.
 *
 * @param workers every known worker, in service or not; null means none
 * @param allocations every gang that holds, or may still hold, capacity; null means none
 */
public record ClusterView(List<WorkerView> workers, List<Allocation> allocations) {
    /** Copies the lists. */
    public ClusterView {
        workers = workers == null ? List.of() : List.copyOf(workers);
        allocations = allocations == null ? List.of() : List.copyOf(allocations);
    }
}
