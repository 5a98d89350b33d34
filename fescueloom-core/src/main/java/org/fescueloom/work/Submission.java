package org.fescueloom.work;

import java.util.Objects;

/**
 * Holds a job as its caller submitted it. Immutable.
 *
 * @param id the identifier that the caller chose, not null
 * @param queue the name of the queue that the job was submitted to, not null
 * @param customer the customer, not null; empty if the caller gave no API key of a customer, which
 *     only a queue with anonymous access allows
 * @param service the service that runs the tasks, not null
 * @param acceptedAtMillis the time at which the job was submitted, in milliseconds since 1970
 * @param work the work of the job, not null
 */
public record Submission(
        String id,
        String queue,
        String customer,
        String service,
        long acceptedAtMillis,
        WorkSpec work) {
    /** Checks that no component is null. */
    public Submission {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(work, "work");
    }
}
