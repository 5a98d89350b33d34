package org.fescueloom.placement;

import java.util.Objects;
import java.util.Set;
import org.fescueloom.job.JobSpec;

/**
 * Describes a waiting job, which has no gang.
 *
 * @param job the identifier, not null
 * @param spec the specification that the caller submitted, not null
 * @param acceptedAtMillis the time of acceptance, in milliseconds since the epoch
 * @param notBeforeMillis the earliest time at which the job may start, in milliseconds since the
 *     epoch; 0 if it may start at once
 * @param remainingMillis the remaining run time according to the caller's declaration, in
 *     milliseconds
 * @param avoidedWorkers the workers that the job avoids because it failed on them; null means none
 */
public record WaitingJob(
        String job,
        JobSpec spec,
        long acceptedAtMillis,
        long notBeforeMillis,
        long remainingMillis,
        Set<String> avoidedWorkers) {
    /** Checks that job and specification are not null and copies the workers. */
    public WaitingJob {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(spec, "spec");
        avoidedWorkers = avoidedWorkers == null ? Set.of() : Set.copyOf(avoidedWorkers);
    }

    /**
     * Returns the number of accelerators that all tasks need together.
     *
     * @return the number, at least 0
     */
    public int totalAccelerators() {
        return spec.tasks() * spec.acceleratorsPerTask();
    }

    /**
     * Returns a copy of this job that avoids no workers.
     *
     * @return the copy, never null
     */
    public WaitingJob withoutAvoidedWorkers() {
        return new WaitingJob(job, spec, acceptedAtMillis, notBeforeMillis, remainingMillis, null);
    }
}
