package org.fescueloom.fleet;

import java.util.Objects;
import java.util.Set;

/**
 * Holds what operators have set for a customer.
 *
 * @param name the name, not null
 * @param keys the keys that its callers use, not null
 * @param guaranteedAccelerators how many accelerators are its own for jobs of priority 0
 */
public record CustomerTerms(String name, Set<String> keys, long guaranteedAccelerators) {
    /** Checks the values. */
    public CustomerTerms {
        Objects.requireNonNull(name, "name");
        keys = Set.copyOf(keys);
    }
}
