package org.fescueloom.daemon.dispatch;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.Failures;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Submission;

/**
 * Serves the job calls at an entry: the entry stores submissions and cancellations, and forwards
 * queries to the dispatcher.
 */
final class EntryJobApi implements JobApi {
    private final IntakeWriter writer;
    private final JobQueryForwarder queryForwarder;

    /**
     * Creates the API.
     *
     * @param writer stores submissions and cancellations, not null
     * @param queryForwarder forwards queries to the dispatcher, not null
     */
    EntryJobApi(IntakeWriter writer, JobQueryForwarder queryForwarder) {
        this.writer = Objects.requireNonNull(writer, "writer");
        this.queryForwarder = Objects.requireNonNull(queryForwarder, "dispatcher");
    }

    @Override
    public CompletableFuture<Void> submit(Submission submission, long waitMillis) {
        return writer.store(IntakeRequest.of(submission), waitMillis);
    }

    @Override
    public CompletableFuture<JobStatus> status(String jobId, long waitMillis) {
        return queryForwarder.status(jobId, waitMillis);
    }

    @Override
    public CompletableFuture<Boolean> cancel(String jobId, long waitMillis) {
        long deadlineMillis = Clocks.monotonicMillis() + waitMillis;
        return writer.store(IntakeRequest.cancellation(jobId), waitMillis)
                .thenCompose(
                        v ->
                                queryForwarder
                                        .status(jobId, deadlineMillis - Clocks.monotonicMillis())
                                        .handle(
                                                (status, error) ->
                                                        jobExists(jobId, status, error)));
    }

    /**
     * Tells whether a job exists. If the query for its state has failed, the job counts as
     * existing, since the cancellation is stored and applies to any job.
     */
    private static boolean jobExists(String jobId, JobStatus status, Throwable error) {
        if (error != null) {
            EventLog.event("cancelled-unseen")
                    .field("job", jobId)
                    .error(Failures.causeOf(error))
                    .info();
        }
        return error != null || status != JobStatus.UNKNOWN;
    }

    @Override
    public CompletableFuture<Long> pending(String queue, long waitMillis) {
        return queryForwarder.pending(queue, waitMillis);
    }
}
