package org.fescueloom.placement;

import java.util.Objects;
import org.fescueloom.config.GuaranteedShape;

/**
 * Reports guaranteed blocks that cannot be laid out on the workers in service.
 *
 * @param customer the customer, not null
 * @param shape the shape, not null
 * @param missingBlocks how many blocks of the shape cannot be laid out
 */
public record BrokenGuarantee(String customer, GuaranteedShape shape, int missingBlocks) {
    /** Checks that customer and shape are given. */
    public BrokenGuarantee {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(shape, "shape");
    }
}
