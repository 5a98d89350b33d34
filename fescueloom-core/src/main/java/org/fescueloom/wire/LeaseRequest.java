package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Asks a worker for a lease on some of its accelerators.
 *
 * @param token the epoch of the planner that asks; a worker that has seen a higher one refuses
 * @param job the job that the lease is for, not null
 * @param attempt the gang attempt that the lease is for, not null
 * @param accelerators the places of the accelerators on the worker, from 0; null counts as none
 * @param cpus how many processor cores
 * @param memoryMb the memory, in mebibytes
 * @param ttlMillis the time after which the lease lapses unless it is renewed, in milliseconds
 */
public record LeaseRequest(
        long token,
        String job,
        String attempt,
        List<Integer> accelerators,
        int cpus,
        long memoryMb,
        long ttlMillis) {
    /** Checks the names and copies the accelerators. */
    public LeaseRequest {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(attempt, "attempt");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
