package org.fescueloom.placement;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Tracks the claimed accelerators of one guaranteed block. Mutable. */
final class BlockUsage {
    private final GuaranteedBlock block;
    private final Map<Integer, Integer> claimedByWorker = new TreeMap<>();

    /** The sum of the claimed accelerators of all workers. */
    private int claimed;

    /** The topology domain of the claims; {@link LayoutItem#ANY_DOMAIN} if nothing is claimed. */
    private int domain = LayoutItem.ANY_DOMAIN;

    BlockUsage(GuaranteedBlock block) {
        this.block = block;
    }

    GuaranteedBlock block() {
        return block;
    }

    int unclaimedAccelerators() {
        return block.accelerators() - claimed;
    }

    boolean isFullyUnclaimed() {
        return claimed == 0;
    }

    /**
     * Returns whether accelerators of a worker may be claimed: all claims on a block must lie in
     * one topology domain.
     */
    boolean canClaimOn(Topology topology, int workerIndex) {
        return domain == LayoutItem.ANY_DOMAIN
                || domain == topology.domainIndexOf(block.adjacency(), workerIndex);
    }

    void claim(Topology topology, int workerIndex, int accelerators) {
        claimedByWorker.merge(workerIndex, accelerators, Integer::sum);
        claimed += accelerators;
        domain = topology.domainIndexOf(block.adjacency(), workerIndex);
    }

    void release(int workerIndex, int accelerators) {
        claimedByWorker.merge(workerIndex, -accelerators, Integer::sum);
        claimedByWorker.remove(workerIndex, 0);
        claimed -= accelerators;
        if (claimed == 0) {
            domain = LayoutItem.ANY_DOMAIN;
        }
    }

    /** Returns a key that is equal for blocks that are interchangeable for every gang. */
    LayoutItem equivalenceKey() {
        GuaranteedBlock nameless =
                new GuaranteedBlock(block.customer(), "", block.accelerators(), block.adjacency());
        return new LayoutItem(nameless, unclaimedAccelerators(), domain);
    }

    /** Returns the unclaimed part of the block, or empty if the whole block is claimed. */
    Optional<LayoutItem> unclaimedPart() {
        return unclaimedAccelerators() > 0
                ? Optional.of(new LayoutItem(block, unclaimedAccelerators(), domain))
                : Optional.empty();
    }
}
