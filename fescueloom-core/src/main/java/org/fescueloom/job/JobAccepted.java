package org.fescueloom.job;

import java.util.Objects;

/**
 * Records that a job was accepted.
 *
 * @param job the identifier of the job, not null
 * @param spec what the caller submitted, not null
 * @param acceptedAtMillis the time of acceptance, in milliseconds since the epoch
 */
public record JobAccepted(String job, JobSpec spec, long acceptedAtMillis) implements JobRecord {
    /** Checks that no component is null. */
    public JobAccepted {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(spec, "spec");
    }
}
