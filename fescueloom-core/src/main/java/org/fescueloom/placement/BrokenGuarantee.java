package org.fescueloom.placement;

import java.util.Objects;
import org.fescueloom.config.GuaranteedShape;

/**
 * Reports guaranteed blocks that cannot be laid out on the workers in service.
 *
 * @param customer the customer, not null
 * @param shape the guaranteed shape of one of these blocks, not null
 * @param missingBlocks the number of blocks of this shape of which the unclaimed part cannot be
 *     laid out
 */
public record BrokenGuarantee(String customer, GuaranteedShape shape, int missingBlocks) {
    /** Checks that customer and shape are not null. */
    public BrokenGuarantee {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(shape, "shape");
    }
}
