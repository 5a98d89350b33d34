package org.fescueloom.placement;

import java.util.Objects;
import java.util.Set;

/**
 * Represents the decision to reserve workers for a waiting job. Other jobs may use the workers only
 * until the job is expected to start.
 *
 * @param job the identifier of the job, not null
 * @param expectedStartMillis the time at which the job is expected to start, in milliseconds since
 *     the epoch
 * @param workers the reserved workers; null means none
 */
public record ReserveGang(String job, long expectedStartMillis, Set<String> workers)
        implements Decision {
    /** Checks that the job is not null and copies the workers. */
    public ReserveGang {
        Objects.requireNonNull(job, "job");
        workers = workers == null ? Set.of() : Set.copyOf(workers);
    }
}
