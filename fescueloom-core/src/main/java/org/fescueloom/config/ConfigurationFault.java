package org.fescueloom.config;

import java.util.Objects;

/**
 * Describes one fault of a configuration document.
 *
 * @param path where the fault stands, such as "customers[2].guaranteedShare", not null
 * @param value the value that was found, as text; null if there was none
 * @param allowed what is allowed there, not null
 */
public record ConfigurationFault(String path, String value, String allowed) {
    /** Checks that path and rule are given. */
    public ConfigurationFault {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(allowed, "allowed");
    }

    @Override
    public String toString() {
        return path + " is " + value + ", allowed: " + allowed;
    }
}
