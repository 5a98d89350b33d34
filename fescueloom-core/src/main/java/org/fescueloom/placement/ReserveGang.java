package org.fescueloom.placement;

import java.util.Objects;
import java.util.Set;

/**
 * Keeps workers for a waiting job from a time on; other work uses them only until then.
 *
 * @param job the job, not null
 * @param expectedStartMillis when the job is expected to start, in milliseconds since the epoch
 * @param workers the workers that are kept; null counts as none
 */
public record ReserveGang(String job, long expectedStartMillis, Set<String> workers)
        implements Decision {
    /** Checks the job and copies the workers. */
    public ReserveGang {
        Objects.requireNonNull(job, "job");
        workers = workers == null ? Set.of() : Set.copyOf(workers);
    }
}
