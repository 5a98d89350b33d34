package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Reports one lease of a worker.
 *
 * @param lease the identifier of the lease, not null
 * @param job the job, not null
 * @param attempt the gang attempt, not null
 * @param accelerators the places of the accelerators on the worker; null counts as none
 * @param expiresInMillis the time until the lease lapses, in milliseconds
 * @param tasks the tasks under the lease; null counts as none
 */
public record LeaseReport(
        String lease,
        String job,
        String attempt,
        List<Integer> accelerators,
        long expiresInMillis,
        List<TaskReport> tasks) {
    /** Checks the names and copies the lists. */
    public LeaseReport {
        Objects.requireNonNull(lease, "lease");
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(attempt, "attempt");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }
}
