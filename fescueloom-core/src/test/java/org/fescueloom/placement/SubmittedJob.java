package org.fescueloom.placement;

import org.fescueloom.job.JobSpec;

/**
 * Is one job of a workload.
 *
 * @param id the identifier
 * @param spec what the caller declares
 * @param arrivalMillis when it is submitted
 * @param runMillis how long it really runs
 * @param faulty whether it fails wherever it runs
 */
record SubmittedJob(String id, JobSpec spec, long arrivalMillis, long runMillis, boolean faulty) {
    int accelerators() {
        return spec.tasks() * spec.acceleratorsPerTask();
    }
}
