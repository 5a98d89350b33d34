package org.fescueloom.job;

import java.util.Objects;

/**
 * Records that a gang job was accepted.
 *
 * @param job the identifier of the job, not null
 * @param spec the job as its caller submitted it, not null
 * @param acceptedAtMillis the time of acceptance, in milliseconds since the epoch
 */
public record JobAccepted(String job, JobSpec spec, long acceptedAtMillis) implements JobRecord {
    /** Checks that no component is null. */
    public JobAccepted {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(spec, "spec");
    }
}
