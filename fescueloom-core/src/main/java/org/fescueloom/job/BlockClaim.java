package org.fescueloom.job;

import java.util.Objects;

/**
 * Charges accelerators of a gang to one guaranteed block of its customer.
 *
 * @param block the name of the block, see {@code org.fescueloom.placement.GuaranteedBlock}, not
 *     null
 * @param worker the worker whose accelerators are charged, not null
 * @param accelerators the number of accelerators of the block that the gang uses on the worker, at
 *     least 1
 */
public record BlockClaim(String block, String worker, int accelerators) {
    /**
     * Checks the names and the number.
     *
     * @throws IllegalArgumentException if {@code accelerators} is not positive
     */
    public BlockClaim {
        Objects.requireNonNull(block, "block");
        Objects.requireNonNull(worker, "worker");
        if (accelerators < 1) {
            throw new IllegalArgumentException("accelerators must be positive: " + accelerators);
        }
    }
}
