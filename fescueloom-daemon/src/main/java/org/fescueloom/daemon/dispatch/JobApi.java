package org.fescueloom.daemon.dispatch;

import java.util.concurrent.CompletableFuture;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Submission;

/**
 * Serves the calls of callers that submit jobs.
 *
 * <p>Futures fail with a {@link org.fescueloom.failure.SchedulerException}; its type tells whether
 * the call has certainly had no effect.
 */
public interface JobApi {
    /**
     * Submits a job.
     *
     * @param submission the job, not null; a submission with a known job ID refers to the job
     *     already known
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return a future that completes once the job is stored
     */
    CompletableFuture<Void> submit(Submission submission, long waitMillis);

    /**
     * Returns the state of a job.
     *
     * @param jobId the ID of the job, not null
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return a future of the state
     */
    CompletableFuture<JobStatus> status(String jobId, long waitMillis);

    /**
     * Cancels a job.
     *
     * @param jobId the ID of the job, not null
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return a future that completes once the cancellation is stored, and tells whether the job
     *     exists
     */
    CompletableFuture<Boolean> cancel(String jobId, long waitMillis);

    /**
     * Counts the jobs of a queue that have not started.
     *
     * @param queue the name of the queue, not null
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return a future of the number of jobs
     */
    CompletableFuture<Long> pending(String queue, long waitMillis);
}
