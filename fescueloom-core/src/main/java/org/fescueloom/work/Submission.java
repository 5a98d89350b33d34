package org.fescueloom.work;

import java.util.Objects;

/**
 * Holds what a caller has handed in; it never changes.
 *
 * @param id the identifier that the caller chose, not null
 * @param queue the name of the queue, not null
 * @param customer the customer, empty for a public queue, not null
 * @param service the service that runs the tasks, not null
 * @param acceptedAtMillis when it was handed in, in milliseconds since 1970
 * @param work what is to be done, not null
 */
public record Submission(
        String id,
        String queue,
        String customer,
        String service,
        long acceptedAtMillis,
        WorkSpec work) {
    /** Checks the values. */
    public Submission {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(work, "work");
    }
}
