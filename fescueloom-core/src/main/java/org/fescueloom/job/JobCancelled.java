package org.fescueloom.job;

import java.util.Objects;

/**
 * Records that the caller cancelled a job.
 *
 * @param job the job, not null
 * @param cancelledAtMillis the time of the call, in milliseconds since the epoch
 */
public record JobCancelled(String job, long cancelledAtMillis) implements JobRecord {
    /** Checks that the job is given. */
    public JobCancelled {
        Objects.requireNonNull(job, "job");
    }
}
