package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Reports one lease that a worker has granted.
 *
 * @param lease the identifier of the lease, not null
 * @param job the identifier of the gang job, not null
 * @param attempt the identifier of the gang attempt, not null
 * @param accelerators the indexes of the leased accelerators on the worker; null is treated as none
 * @param expiresInMillis the time until the lease lapses, in milliseconds
 * @param tasks the tasks that run under the lease; null is treated as none
 */
public record LeaseReport(
        String lease,
        String job,
        String attempt,
        List<Integer> accelerators,
        long expiresInMillis,
        List<TaskReport> tasks) {
    /** Checks that the identifiers are not null and copies the lists. */
    public LeaseReport {
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(attempt, "attempt");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }
}
