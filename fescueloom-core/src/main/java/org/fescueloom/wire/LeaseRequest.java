package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Asks a worker for a lease on some of its accelerators.
 *
 * @param token the epoch of the requesting planner, which serves as a fencing token: a worker that
 *     has seen a higher epoch refuses the request
 * @param job the identifier of the gang job, not null
 * @param attempt the identifier of the gang attempt, not null
 * @param accelerators the indexes of the accelerators on the worker, from 0; null is treated as
 *     none
 * @param cpus the number of processor cores
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
    /** Checks that the identifiers are not null and copies the accelerators. */
    public LeaseRequest {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(attempt, "attempt");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
