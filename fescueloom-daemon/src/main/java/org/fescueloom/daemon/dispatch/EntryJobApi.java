package org.fescueloom.daemon.dispatch;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.Failures;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Submission;

/**
 * Serves the calls that an entry takes: what changes a job is stored by this entry, what asks for
 * the state of jobs goes to the dispatcher.
 */
final class EntryJobApi implements JobApi {
    private final IntakeWriter writer;
    private final JobQueryForwarder dispatcher;

    /**
     * Creates the interface.
     *
     * @param writer stores what is handed in and cancelled, not null
     * @param dispatcher asks for the state of jobs, not null
     */
    EntryJobApi(IntakeWriter writer, JobQueryForwarder dispatcher) {
        this.writer = Objects.requireNonNull(writer, "writer");
        this.dispatcher = Objects.requireNonNull(dispatcher, "dispatcher");
    }

    @Override
    public CompletableFuture<Void> submit(Submission submission, long waitMillis) {
        return writer.store(IntakeRequest.of(submission), waitMillis);
    }

    @Override
    public CompletableFuture<JobStatus> view(String job, long waitMillis) {
        return dispatcher.view(job, waitMillis);
    }

    @Override
    public CompletableFuture<Boolean> cancel(String job, long waitMillis) {
        long deadline = Clocks.monotonicMillis() + waitMillis;
        return writer.store(IntakeRequest.cancellation(job), waitMillis)
                .thenCompose(
                        v ->
                                dispatcher
                                        .view(job, deadline - Clocks.monotonicMillis())
                                        .handle((view, error) -> known(job, view, error)));
    }

    /** Tells whether there is such a job; without a dispatcher the cancellation holds for any. */
    private static boolean known(String job, JobStatus view, Throwable error) {
        if (error != null) {
            EventLog.event("cancelled-unseen")
                    .field("job", job)
                    .error(Failures.causeOf(error))
                    .info();
        }
        return error != null || view != JobStatus.UNKNOWN;
    }

    @Override
    public CompletableFuture<Long> pending(String queue, long waitMillis) {
        return dispatcher.pending(queue, waitMillis);
    }
}
