package org.fescueloom.placement;

import org.fescueloom.config.Adjacency;

/**
 * Represents the unclaimed part of a guaranteed block, which a layout must place.
 *
 * @param block the block
 * @param accelerators the number of unclaimed accelerators, at least 1
 * @param domain the index of the topology domain that contains the claimed part of the block and
 *     must contain this part too; {@link #ANY_DOMAIN} if no part of the block is claimed
 */
record LayoutItem(GuaranteedBlock block, int accelerators, int domain) {
    /** The domain of a block without claims, which may be placed in any domain. */
    static final int ANY_DOMAIN = -1;

    Adjacency adjacency() {
        return block.adjacency();
    }

    boolean allowsDomain(int candidate) {
        return domain == ANY_DOMAIN || domain == candidate;
    }
}
