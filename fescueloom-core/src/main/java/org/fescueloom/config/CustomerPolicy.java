package org.fescueloom.config;

import java.util.List;
import java.util.Objects;

/**
 * Describes what one customer is guaranteed.
 *
 * @param name the name, not null
 * @param guaranteedShare the share of all request slots, from 0 to 1
 * @param guaranteedShapes the shapes of accelerators; null counts as none
 */
public record CustomerPolicy(
        String name, double guaranteedShare, List<GuaranteedShape> guaranteedShapes) {
    /** Checks that the name is given and copies the shapes. */
    public CustomerPolicy {
        Objects.requireNonNull(name, "name");
        guaranteedShapes = guaranteedShapes == null ? List.of() : List.copyOf(guaranteedShapes);
    }
}
