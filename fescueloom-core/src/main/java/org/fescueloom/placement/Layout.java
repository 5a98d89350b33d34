package org.fescueloom.placement;

import java.util.List;
import java.util.Map;

/**
 * Assigns the unclaimed parts of guaranteed blocks to workers that could hold them all at the same
 * time.
 *
 * @param placements the number of accelerators on each worker, by block and then by the index of
 *     the worker
 * @param unplaced the parts of blocks for which the search found no place
 */
record Layout(Map<GuaranteedBlock, Map<Integer, Integer>> placements, List<LayoutItem> unplaced) {
    boolean isComplete() {
        return unplaced.isEmpty();
    }

    int unplacedAccelerators() {
        return unplaced.stream().mapToInt(LayoutItem::accelerators).sum();
    }
}
