package org.fescueloom.placement;

import java.util.List;

/**
 * Describes all workers and what they hold.
 *
 * @param workers every known worker, in service or not; null counts as none
 * @param allocations every gang that holds or may hold something; null counts as none
 */
public record ClusterView(List<WorkerView> workers, List<Allocation> allocations) {
    /** Copies the lists. */
    public ClusterView {
        workers = workers == null ? List.of() : List.copyOf(workers);
        allocations = allocations == null ? List.of() : List.copyOf(allocations);
    }
}
