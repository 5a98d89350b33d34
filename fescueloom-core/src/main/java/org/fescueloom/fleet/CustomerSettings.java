package org.fescueloom.fleet;

import java.util.Objects;
import java.util.Set;

/**
 * Holds what operators have set for a customer.
 *
 * @param name the name, not null
 * @param apiKeys the keys that its callers use, not null
 * @param guaranteedAccelerators how many accelerators are its own for jobs of priority 0
 */
public record CustomerSettings(String name, Set<String> apiKeys, long guaranteedAccelerators) {
    /** Checks the values. */
    public CustomerSettings {
        Objects.requireNonNull(name, "name");
        apiKeys = Set.copyOf(apiKeys);
    }
}
