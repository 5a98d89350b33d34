package org.fescueloom.daemon.dispatch;

import java.util.concurrent.CompletableFuture;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Submission;

/**
 * Takes the calls of those who hand in jobs.
 *
 * <p>Futures fail with a {@link org.fescueloom.failure.SchedulerException}; its type tells whether
 * the call has surely had no effect.
 */
public interface JobApi {
    /**
     * Accepts a job.
     *
     * @param submission the job, not null; one with a known identifier is the same job
     * @param waitMillis the longest time until the answer, in milliseconds
     * @return a future that completes once the job is stored
     */
    CompletableFuture<Void> submit(Submission submission, long waitMillis);

    /**
     * Tells the state of a job.
     *
     * @param job its identifier, not null
     * @param waitMillis the longest time until the answer, in milliseconds
     * @return a future of the state
     */
    CompletableFuture<JobStatus> view(String job, long waitMillis);

    /**
     * Cancels a job.
     *
     * @param job its identifier, not null
     * @param waitMillis the longest time until the answer, in milliseconds
     * @return a future that tells whether there is such a job, once that is stored
     */
    CompletableFuture<Boolean> cancel(String job, long waitMillis);

    /**
     * Counts the jobs of a queue that have not begun.
     *
     * @param queue the name of the queue, not null
     * @param waitMillis the longest time until the answer, in milliseconds
     * @return a future of the number
     */
    CompletableFuture<Long> pending(String queue, long waitMillis);
}
