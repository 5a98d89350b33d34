package org.fescueloom.fleet;

import java.util.Objects;
import java.util.Set;

/**
 * Holds the settings of a customer, which operators make.
 *
 * @param name the name, not null
 * @param apiKeys the API keys that the customer's callers use, not null
 * @param guaranteedAccelerators the number of accelerators that are guaranteed to the customer's
 *     jobs of priority 0
 */
public record CustomerSettings(String name, Set<String> apiKeys, long guaranteedAccelerators) {
    /** Checks that name and API keys are not null and copies the keys. */
    public CustomerSettings {
        Objects.requireNonNull(name, "name");
        apiKeys = Set.copyOf(apiKeys);
    }
}
