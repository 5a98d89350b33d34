package org.fescueloom.config;

import java.util.Objects;

/**
 * Describes a class of work and its target.
 *
 * @param name the name, not null
 * @param targetMillis the time within which an answer must arrive, in milliseconds
 * @param priority the order among classes of one customer; a larger number goes first
 * @param maxBodyBytes the longest request body that is accepted, in bytes
 */
public record ServiceClass(String name, long targetMillis, int priority, int maxBodyBytes) {
    /** Checks that the name is given. */
    public ServiceClass {
        Objects.requireNonNull(name, "name");
    }
}
