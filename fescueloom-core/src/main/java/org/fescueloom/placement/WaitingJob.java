package org.fescueloom.placement;

import java.util.Objects;
import java.util.Set;
import org.fescueloom.job.JobSpec;

/**
 * Describes a job that has no gang.
 *
 * @param job the identifier, not null
 * @param spec what the caller submitted, not null
 * @param acceptedAtMillis the time of acceptance, in milliseconds since the epoch
 * @param notBeforeMillis the time before which it is not tried again, in milliseconds since the
 *     epoch; 0 for at once
 * @param remainingMillis the run time that is left by the caller's declaration, in milliseconds
 * @param avoidedWorkers the workers on which it failed; null counts as none
 */
public record WaitingJob(
        String job,
        JobSpec spec,
        long acceptedAtMillis,
        long notBeforeMillis,
        long remainingMillis,
        Set<String> avoidedWorkers) {
    /** Checks the names and copies the workers. */
    public WaitingJob {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(spec, "spec");
        avoidedWorkers = avoidedWorkers == null ? Set.of() : Set.copyOf(avoidedWorkers);
    }

    /**
     * Returns how many accelerators all tasks need together.
     *
     * @return the number, at least 0
     */
    public int totalAccelerators() {
        return spec.tasks() * spec.acceleratorsPerTask();
    }

    /**
     * Returns this job without workers to avoid.
     *
     * @return the job, never null
     */
    public WaitingJob withoutAvoidedWorkers() {
        return new WaitingJob(job, spec, acceptedAtMillis, notBeforeMillis, remainingMillis, null);
    }
}
