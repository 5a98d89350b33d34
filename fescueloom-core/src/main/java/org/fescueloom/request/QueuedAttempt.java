package org.fescueloom.request;

import java.util.Objects;

/**
 * Describes an attempt that waits for a slot.
 *
 * @param <T> the type of the work of the attempt
 * @param work the work, not null; its {@code equals} identifies the attempt
 * @param customer the customer, not null
 * @param serviceClass the service class, not null; the service time measured for this class is the
 *     expected service time of the attempt
 * @param priority the priority of the service class; a higher number goes first
 * @param deadlineNanos the monotonic time by which the response must have arrived, in nanoseconds
 * @param bytes the memory that the attempt occupies, in bytes, not negative
 */
public record QueuedAttempt<T>(
        T work,
        String customer,
        String serviceClass,
        int priority,
        long deadlineNanos,
        long bytes) {
    /** Checks that the work, the customer and the service class are not null. */
    public QueuedAttempt {
        Objects.requireNonNull(work, "work");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(serviceClass, "serviceClass");
        if (bytes < 0) {
            throw new IllegalArgumentException("bytes must not be negative: " + bytes);
        }
    }
}
