package org.fescueloom.config;

import java.util.Objects;

/**
 * Describes accelerators that a customer can always reclaim.
 *
 * @param blocks the number of blocks, at least 1
 * @param accelerators the number of accelerators in each block, at least 1
 * @param adjacency the topology bound for the accelerators of one block, not null
 */
public record GuaranteedShape(int blocks, int accelerators, Adjacency adjacency) {
    /** Checks that the adjacency is not null. */
    public GuaranteedShape {
        Objects.requireNonNull(adjacency, "adjacency");
    }
}
