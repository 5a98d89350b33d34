package org.fescueloom.placement;

import org.fescueloom.job.JobSpec;

/**
 * Represents one job of a workload.
 *
 * @param id the identifier
 * @param spec the specification that the caller declares
 * @param arrivalMillis the time at which the job is submitted
 * @param runMillis the actual run time
 * @param faulty whether the job fails on every worker
 */
record SubmittedJob(String id, JobSpec spec, long arrivalMillis, long runMillis, boolean faulty) {
    int accelerators() {
        return spec.tasks() * spec.acceleratorsPerTask();
    }
}
