package org.fescueloom.job;

import java.util.Objects;

/**
 * Repeats the whole state of a job before its earlier records expire.
 *
 * <p>It counts only if no record changed the job between {@link Job#changedAtOffset()} and the
 * snapshot.
 *
 * @param job the state, not null
 */
public record JobSnapshot(Job job) implements JobRecord {
    /** Checks that the state is given. */
    public JobSnapshot {
        Objects.requireNonNull(job, "job");
    }
}
