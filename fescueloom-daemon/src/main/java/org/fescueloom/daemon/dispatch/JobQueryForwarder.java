package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.JobStatus;

/**
 * Forwards queries to the dispatcher. If the dispatcher does not respond or has been replaced,
 * queries are retried with the dispatcher that is known at the time of the retry.
 */
final class JobQueryForwarder {
    /** Maximum time for which a query is retried, if its caller does not wait for less. */
    static final long MAX_RETRY_DURATION_MILLIS = 1_200;

    /** Pause before a retry. */
    private static final long RETRY_PAUSE_MILLIS = 100;

    /** Time to wait for a response before a query is sent again. */
    private static final long ATTEMPT_TIMEOUT_MILLIS = 1_000;

    /** Time after which a caller may repeat a query to which the dispatcher has not responded. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /**
     * Failures after which a retry may succeed, because another entry may be the dispatcher by
     * then.
     */
    private static final Set<FailureType> RETRYABLE_FAILURES =
            EnumSet.of(
                    FailureType.NOT_DISPATCHER,
                    FailureType.LOG_UNAVAILABLE,
                    FailureType.LOG_UNDECIDED);

    private final HttpClient http;
    private final Supplier<String> dispatcher;
    private final Supplier<Connectivity> connectivity;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;

    /**
     * Creates a forwarder.
     *
     * @param http sends the queries
     * @param dispatcher returns the address of the dispatcher; empty while there is none
     * @param connectivity returns whether this entry reaches the log service, only other entries,
     *     or neither; if neither, queries fail at once
     * @param loop runs the retries
     * @param metrics counts the retries
     */
    JobQueryForwarder(
            HttpClient http,
            Supplier<String> dispatcher,
            Supplier<Connectivity> connectivity,
            ScheduledExecutorService loop,
            Metrics metrics) {
        this.http = http;
        this.dispatcher = dispatcher;
        this.connectivity = connectivity;
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Holds the response to a query for the state of a job. */
    record JobStateResponse(JobStatus state) {}

    /** Holds the response to a query for the number of jobs of a queue that have not started. */
    record PendingCountResponse(long pending) {}

    /** Queries the state of a job. */
    CompletableFuture<JobStatus> status(String jobId, long waitMillis) {
        return forward("/jobs/" + jobId, waitMillis)
                .thenApply(response -> response.read(JobStateResponse.class).state());
    }

    /** Queries how many jobs of a queue have not started. */
    CompletableFuture<Long> pending(String queue, long waitMillis) {
        return forward("/queues/" + queue + "/pending", waitMillis)
                .thenApply(response -> response.read(PendingCountResponse.class).pending());
    }

    /** Sends a query to the dispatcher, and retries for a limited time. */
    private CompletableFuture<HttpClientResponse> forward(String path, long waitMillis) {
        Query query = new Query(path, waitMillis);
        query.attempt();
        return query.result;
    }

    /**
     * Sends one query until the dispatcher has responded, a failure is final, or the time for
     * retries has passed.
     */
    private final class Query {
        private final CompletableFuture<HttpClientResponse> result = new CompletableFuture<>();
        private final String path;
        private final long deadlineMillis;
        private final long retryDeadlineMillis;

        Query(String path, long waitMillis) {
            this.path = path;
            long started = Clocks.monotonicMillis();
            deadlineMillis = started + waitMillis;
            retryDeadlineMillis = started + Math.min(waitMillis, MAX_RETRY_DURATION_MILLIS);
        }

        void attempt() {
            if (connectivity.get() == Connectivity.CUT_OFF) {
                result.completeExceptionally(CallFailures.cutOff());
                return;
            }
            String target = dispatcher.get();
            long remainingMillis = deadlineMillis - Clocks.monotonicMillis();
            if (remainingMillis <= 0) {
                result.completeExceptionally(CallFailures.deadlinePassed());
            } else if (target.isEmpty()) {
                retryOrFail(Dispatcher.notDispatcherException());
            } else {
                http.send(
                                HttpClient.request("GET", target, path, null).build(),
                                Duration.ofMillis(
                                        Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS)))
                        .whenComplete(this::onResponse);
            }
        }

        private void onResponse(HttpClientResponse response, Throwable error) {
            if (error != null) {
                retryOrFail(
                        new SchedulerException(
                                FailureType.NOT_DISPATCHER,
                                "the dispatcher has not responded to "
                                        + path
                                        + ": "
                                        + Failures.causeOf(error),
                                RETRY_AFTER_MILLIS));
                return;
            }
            if (response.isSuccess()) {
                result.complete(response);
                return;
            }
            SchedulerException failure = CallFailures.fromResponse(response);
            // While no entry reaches the log service, no other dispatcher can serve the query.
            boolean logDownForAll =
                    failure.type() == FailureType.LOG_UNAVAILABLE
                            && connectivity.get() == Connectivity.LOG_DOWN;
            if (RETRYABLE_FAILURES.contains(failure.type()) && !logDownForAll) {
                retryOrFail(failure);
            } else {
                result.completeExceptionally(failure);
            }
        }

        private void retryOrFail(SchedulerException failure) {
            if (Clocks.monotonicMillis() + RETRY_PAUSE_MILLIS < retryDeadlineMillis) {
                metrics.countRetry(failure.type());
                loop.schedule(this::attempt, RETRY_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                result.completeExceptionally(failure);
            }
        }
    }
}
