package org.fescueloom.job;

import java.util.Objects;

/**
 * Records that the caller cancelled a gang job.
 *
 * @param job the job, not null
 * @param cancelledAtMillis the time of the cancellation, in milliseconds since the epoch
 */
public record JobCancelled(String job, long cancelledAtMillis) implements JobRecord {
    /** Checks that the job is not null. */
    public JobCancelled {
        Objects.requireNonNull(job, "job");
    }
}
