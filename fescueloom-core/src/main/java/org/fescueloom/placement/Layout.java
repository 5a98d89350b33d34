package org.fescueloom.placement;

import java.util.List;
import java.util.Map;

/**
 * Says where unclaimed guaranteed blocks could be placed, all at once.
 *
 * @param places for each block the number of accelerators by the index of the worker
 * @param missing the blocks that no room was found for
 */
record Layout(Map<GuaranteedBlock, Map<Integer, Integer>> places, List<LayoutItem> missing) {
    boolean isComplete() {
        return missing.isEmpty();
    }

    int missingAccelerators() {
        return missing.stream().mapToInt(LayoutItem::accelerators).sum();
    }
}
