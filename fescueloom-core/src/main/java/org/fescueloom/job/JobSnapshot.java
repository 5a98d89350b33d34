package org.fescueloom.job;

import java.util.Objects;

/**
 * Records the whole state of a job, so that the job survives the expiry of its earlier records.
 *
 * <p>The snapshot applies only if no record changed the job between {@link Job#changedAtOffset()}
 * and the snapshot.
 *
 * @param job the state of the job, not null
 */
public record JobSnapshot(Job job) implements JobRecord {
    /** Checks that the job is not null. */
    public JobSnapshot {
        Objects.requireNonNull(job, "job");
    }
}
