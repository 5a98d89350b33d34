package org.fescueloom.config;

import java.util.Objects;

/**
 * Describes one fault of a configuration document.
 *
 * @param path the path of the invalid value in the document, such as
 *     "customers[2].guaranteedShare", not null
 * @param value the invalid value, as text; null if there was none
 * @param allowed a description of the allowed values, not null
 */
public record ConfigurationFault(String path, String value, String allowed) {
    /** Checks that the path and the allowed values are not null. */
    public ConfigurationFault {
        Objects.requireNonNull(path, "path");
        Objects.requireNonNull(allowed, "allowed");
    }

    @Override
    public String toString() {
        return path + " is " + value + ", allowed: " + allowed;
    }
}
