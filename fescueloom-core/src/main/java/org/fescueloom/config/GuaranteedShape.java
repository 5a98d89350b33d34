package org.fescueloom.config;

import java.util.Objects;

/**
 * Describes accelerators that a customer can always reclaim.
 *
 * @param blocks how many blocks, at least 1
 * @param accelerators how many accelerators each block has, at least 1
 * @param adjacency within what bound the accelerators of one block lie, not null
 */
public record GuaranteedShape(int blocks, int accelerators, Adjacency adjacency) {
    /** Checks that the adjacency is given. */
    public GuaranteedShape {
        Objects.requireNonNull(adjacency, "adjacency");
    }
}
