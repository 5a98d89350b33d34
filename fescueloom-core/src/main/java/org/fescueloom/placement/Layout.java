package org.fescueloom.placement;

import java.util.List;
import java.util.Map;

/**
 * Says where unclaimed guaranteed blocks could be placed, all at once.
 *
 * @param placements for each block the number of accelerators by the index of the worker
 * @param unplaced the blocks that no room was found for
 */
record Layout(Map<GuaranteedBlock, Map<Integer, Integer>> placements, List<LayoutItem> unplaced) {
    boolean isComplete() {
        return unplaced.isEmpty();
    }

    int unplacedAccelerators() {
        return unplaced.stream().mapToInt(LayoutItem::accelerators).sum();
    }
}
