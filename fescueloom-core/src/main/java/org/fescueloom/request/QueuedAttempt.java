package org.fescueloom.request;

import java.util.Objects;

/**
 * Describes an attempt that waits for a slot.
 *
 * @param <T> the type of the work that the attempt stands for
 * @param work the work, not null; its {@code equals} identifies the attempt
 * @param customer the customer, not null
 * @param serviceClass the class, whose service time is expected, not null
 * @param priority the priority of the class; a larger number goes first
 * @param deadlineNanos the time by which the answer must be there
 * @param bytes the memory that the attempt holds, in bytes, not negative
 */
public record QueuedAttempt<T>(
        T work,
        String customer,
        String serviceClass,
        int priority,
        long deadlineNanos,
        long bytes) {
    /** Checks that work and customer are given. */
    public QueuedAttempt {
        Objects.requireNonNull(work, "work");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(serviceClass, "serviceClass");
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes must not be negative");
        }
    }
}
