package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.http.HttpAnswer;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.JobStatus;

/** Asks the dispatcher, and looks for another one when it does not answer. */
final class JobQueryForwarder {
    /** How long a call looks for the dispatcher before it is refused. */
    static final long MAX_SEARCH_MILLIS = 1_200;

    private static final long FORWARD_RETRY_MILLIS = 100;

    /** After this time without an answer a question is put again. */
    private static final long ATTEMPT_MILLIS = 1_000;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** After these a question is worth another try. */
    private static final Set<FailureType> ANOTHER_MAY_SERVE =
            EnumSet.of(
                    FailureType.NOT_DISPATCHER,
                    FailureType.LOG_UNAVAILABLE,
                    FailureType.LOG_UNDECIDED);

    private final HttpClient http;
    private final Supplier<String> dispatcher;
    private final Supplier<Connectivity> reach;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;

    /**
     * Creates a forwarder.
     *
     * @param http sends the calls
     * @param dispatcher gives the address of the dispatcher; empty while there is none
     * @param reach tells what this entry reaches; no dispatcher is looked for where none can be
     * @param loop runs the repeats
     * @param metrics counts the repeats
     */
    JobQueryForwarder(
            HttpClient http,
            Supplier<String> dispatcher,
            Supplier<Connectivity> reach,
            ScheduledExecutorService loop,
            Metrics metrics) {
        this.http = http;
        this.dispatcher = dispatcher;
        this.reach = reach;
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Answers a call for the state of a job. */
    record JobStateAnswer(JobStatus state) {}

    /** Answers a call for the jobs of a queue that have not begun. */
    record PendingCountAnswer(long pending) {}

    /** Asks for the state of a job. */
    CompletableFuture<JobStatus> view(String job, long waitMillis) {
        return forward("/jobs/" + job, waitMillis)
                .thenApply(answer -> answer.read(JobStateAnswer.class).state());
    }

    /** Asks how many jobs of a queue have not begun. */
    CompletableFuture<Long> pending(String queue, long waitMillis) {
        return forward("/queues/" + queue + "/pending", waitMillis)
                .thenApply(answer -> answer.read(PendingCountAnswer.class).pending());
    }

    /** Asks the dispatcher, and waits a little if there is none just now. */
    private CompletableFuture<HttpAnswer> forward(String path, long waitMillis) {
        Forwarding forwarding = new Forwarding(path, waitMillis);
        forwarding.attempt();
        return forwarding.result;
    }

    /** Follows one question until the dispatcher has answered it. */
    private final class Forwarding {
        private final CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        private final String path;
        private final long deadline;
        private final long patienceEnd;

        Forwarding(String path, long waitMillis) {
            this.path = path;
            long started = Clocks.monotonicMillis();
            deadline = started + waitMillis;
            patienceEnd = started + Math.min(waitMillis, MAX_SEARCH_MILLIS);
        }

        void attempt() {
            if (reach.get() == Connectivity.CUT_OFF) {
                result.completeExceptionally(CallFailures.cutOff());
                return;
            }
            String target = dispatcher.get();
            long left = deadline - Clocks.monotonicMillis();
            if (left <= 0) {
                result.completeExceptionally(CallFailures.deadlinePassed());
            } else if (target.isEmpty()) {
                later(Dispatcher.notDispatcherException());
            } else {
                http.send(
                                HttpClient.request("GET", target, path, null).build(),
                                Duration.ofMillis(Math.min(left, ATTEMPT_MILLIS)))
                        .whenComplete(this::answered);
            }
        }

        private void answered(HttpAnswer answer, Throwable error) {
            if (error != null) {
                later(
                        new SchedulerException(
                                FailureType.NOT_DISPATCHER,
                                "the dispatcher has not answered: " + Failures.causeOf(error),
                                RETRY_AFTER_MILLIS));
                return;
            }
            if (answer.isSuccess()) {
                result.complete(answer);
                return;
            }
            SchedulerException cause = CallFailures.fromAnswer(answer);
            boolean downForAll =
                    cause.type() == FailureType.LOG_UNAVAILABLE
                            && reach.get() == Connectivity.LOG_DOWN;
            if (ANOTHER_MAY_SERVE.contains(cause.type()) && !downForAll) {
                later(cause);
            } else {
                result.completeExceptionally(cause);
            }
        }

        private void later(SchedulerException cause) {
            if (Clocks.monotonicMillis() + FORWARD_RETRY_MILLIS < patienceEnd) {
                metrics.countRetry(cause.type());
                loop.schedule(this::attempt, FORWARD_RETRY_MILLIS, TimeUnit.MILLISECONDS);
            } else {
                result.completeExceptionally(cause);
            }
        }
    }
}
