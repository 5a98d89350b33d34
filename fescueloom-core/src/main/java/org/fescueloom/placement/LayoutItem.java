package org.fescueloom.placement;

import org.fescueloom.config.Adjacency;

/**
 * Is the unclaimed part of a guaranteed block, which a layout must find room for.
 *
 * @param block the block
 * @param accelerators how many of its accelerators are unclaimed, at least 1
 * @param domain the only domain that the part may lie in, because the claimed part lies there;
 *     {@link #ANY_DOMAIN} if nothing of the block is claimed
 */
record LayoutItem(GuaranteedBlock block, int accelerators, int domain) {
    /** The domain of a block that nothing is claimed of. */
    static final int ANY_DOMAIN = -1;

    Adjacency adjacency() {
        return block.adjacency();
    }

    boolean allowsDomain(int candidate) {
        return domain == ANY_DOMAIN || domain == candidate;
    }
}
