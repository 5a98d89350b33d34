package org.fescueloom.placement;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Counts what is claimed of one guaranteed block. Mutable. */
final class BlockUse {
    private final GuaranteedBlock block;
    private final Map<Integer, Integer> usedByWorker = new TreeMap<>();
    private int used;
    private int domain = LayoutItem.ANYWHERE;

    BlockUse(GuaranteedBlock block) {
        this.block = block;
    }

    GuaranteedBlock block() {
        return block;
    }

    int unclaimed() {
        return block.accelerators() - used;
    }

    boolean isUnclaimed() {
        return used == 0;
    }

    /** Tells whether a part on a worker may be claimed beside what is claimed already. */
    boolean mayLieOn(Topology topology, int worker) {
        return domain == LayoutItem.ANYWHERE
                || domain == topology.domainOf(block.adjacency(), worker);
    }

    void use(Topology topology, int worker, int accelerators) {
        usedByWorker.merge(worker, accelerators, Integer::sum);
        used += accelerators;
        domain = topology.domainOf(block.adjacency(), worker);
    }

    void free(int worker, int accelerators) {
        usedByWorker.merge(worker, -accelerators, Integer::sum);
        usedByWorker.remove(worker, 0);
        used -= accelerators;
        if (used == 0) {
            domain = LayoutItem.ANYWHERE;
        }
    }

    /** Returns what this block has in common with others that are as good for any gang. */
    LayoutItem kind() {
        GuaranteedBlock nameless =
                new GuaranteedBlock(block.customer(), "", block.accelerators(), block.adjacency());
        return new LayoutItem(nameless, unclaimed(), domain);
    }

    /** Returns the unclaimed part, or empty if all is claimed. */
    Optional<LayoutItem> rest() {
        return unclaimed() > 0
                ? Optional.of(new LayoutItem(block, unclaimed(), domain))
                : Optional.empty();
    }
}
