package org.fescueloom.config;

import java.util.List;
import java.util.Objects;

/**
 * Describes the guarantees of one customer.
 *
 * @param name the name, not null
 * @param guaranteedShare the guaranteed share of all request slots, from 0 to 1
 * @param guaranteedShapes the guaranteed shapes of accelerators; null is treated as none
 */
public record CustomerPolicy(
        String name, double guaranteedShare, List<GuaranteedShape> guaranteedShapes) {
    /** Checks that the name is not null and copies the shapes. */
    public CustomerPolicy {
        Objects.requireNonNull(name, "name");
        guaranteedShapes = guaranteedShapes == null ? List.of() : List.copyOf(guaranteedShapes);
    }
}
