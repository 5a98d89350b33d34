package org.fescueloom.config;

import java.util.Objects;

/**
 * Describes a service class and its target response time.
 *
 * @param name the name, not null
 * @param targetMillis the time within which a response must arrive, in milliseconds
 * @param priority the priority among the attempts of one customer; a higher number goes first
 * @param maxBodyBytes the maximum size of an accepted request body, in bytes
 */
public record ServiceClass(String name, long targetMillis, int priority, int maxBodyBytes) {
    /** Checks that the name is not null. */
    public ServiceClass {
        Objects.requireNonNull(name, "name");
    }
}
