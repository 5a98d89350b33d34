package org.fescueloom.job;

import java.util.Objects;

/**
 * Charges accelerators of a gang to one block of its customer's guaranteed shapes.
 *
 * @param block the name of the block, see {@code org.fescueloom.placement.GuaranteedBlock}, not
 *     null
 * @param worker the worker whose accelerators are charged, not null
 * @param accelerators how many accelerators of the block are used there, at least 1
 */
public record BlockClaim(String block, String worker, int accelerators) {
    /** Checks the names and the count. */
    public BlockClaim {
        Objects.requireNonNull(block, "block");
        Objects.requireNonNull(worker, "worker");
        if (accelerators < 1) {
            throw new IllegalArgumentException("accelerators must be positive: " + accelerators);
        }
    }
}
