package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
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
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.work.JobView;
import org.fescueloom.work.Submission;

/** Passes calls to the dispatcher, and looks for another one when it does not answer. */
final class JobForwarder implements JobApi {
    /** How long a call looks for the dispatcher before it is refused. */
    static final long PATIENCE_MILLIS = 1_200;

    private static final long FORWARD_RETRY_MILLIS = 100;

    /**
     * After this time without an answer a call is tried again, as a repeat has no further effect.
     */
    private static final long ATTEMPT_MILLIS = 1_000;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /**
     * A call with less time than this is likely the last one of its caller: a refused caller comes
     * back after some 0.15 s and a third of what it has left, and not with too little left.
     */
    private static final long LAST_CALL_MILLIS = 500;

    /**
     * The pause between the tries of such a call while the log service is down for all; the log
     * service answers in some 6 ms.
     */
    private static final long LAST_CALL_RETRY_MILLIS = 40;

    /** After these a call is worth another try: it names its job, so it has effect only once. */
    private static final Set<FailureType> ANOTHER_MAY_SERVE =
            EnumSet.of(
                    FailureType.NOT_DISPATCHER,
                    FailureType.LOG_UNAVAILABLE,
                    FailureType.LOG_UNDECIDED);

    private final HttpClient http;
    private final Supplier<String> dispatcher;
    private final Supplier<Reach> reach;
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
    JobForwarder(
            HttpClient http,
            Supplier<String> dispatcher,
            Supplier<Reach> reach,
            ScheduledExecutorService loop,
            Metrics metrics) {
        this.http = http;
        this.dispatcher = dispatcher;
        this.reach = reach;
        this.loop = loop;
        this.metrics = metrics;
    }

    /** Answers a call for the state of a job. */
    record ViewAnswer(JobView state) {}

    /** Answers a call that cancels a job. */
    record CancelAnswer(boolean known) {}

    /** Answers a call for the jobs of a queue that have not begun. */
    record PendingAnswer(long pending) {}

    @Override
    public CompletableFuture<Void> submit(Submission submission, long waitMillis) {
        return forward("POST", "/jobs/" + submission.id(), submission, waitMillis)
                .thenApply(answer -> null);
    }

    @Override
    public CompletableFuture<JobView> view(String job, long waitMillis) {
        return forward("GET", "/jobs/" + job, null, waitMillis)
                .thenApply(answer -> answer.read(ViewAnswer.class).state());
    }

    @Override
    public CompletableFuture<Boolean> cancel(String job, long waitMillis) {
        return forward("DELETE", "/jobs/" + job, null, waitMillis)
                .thenApply(answer -> answer.read(CancelAnswer.class).known());
    }

    @Override
    public CompletableFuture<Long> pending(String queue, long waitMillis) {
        return forward("GET", "/queues/" + queue + "/pending", null, waitMillis)
                .thenApply(answer -> answer.read(PendingAnswer.class).pending());
    }

    /** Passes a call to the dispatcher, and waits a little if there is none just now. */
    private CompletableFuture<HttpAnswer> forward(
            String method, String path, Object body, long waitMillis) {
        Forwarding forwarding = new Forwarding(method, path, body, waitMillis);
        forwarding.attempt();
        return forwarding.result;
    }

    /** Follows one call until the dispatcher has answered it. */
    private final class Forwarding {
        private final CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        private final String method;
        private final String path;
        private final Object body;
        private final long started = Clocks.monotonicMillis();
        private final long deadline;
        private final long patienceEnd;
        private boolean maybeDone;

        Forwarding(String method, String path, Object body, long waitMillis) {
            this.method = method;
            this.path = path;
            this.body = body;
            deadline = started + waitMillis;
            patienceEnd = started + Math.min(waitMillis, PATIENCE_MILLIS);
        }

        void attempt() {
            if (reach.get() == Reach.CUT_OFF) {
                giveUp(cutOff());
                return;
            }
            String target = dispatcher.get();
            long left = deadline - Clocks.monotonicMillis();
            if (left <= 0) {
                giveUp(timeIsOver());
                return;
            }
            if (target.isEmpty()) {
                later(Dispatcher.notDispatcher());
                return;
            }
            long timeout = Math.min(left, ATTEMPT_MILLIS);
            // The dispatcher answers before the attempt is given up, so that the outcome is known.
            long wait = Math.max(1, AnswerMargin.before(timeout));
            String query = method.equals("POST") ? "?wait=" + wait : "";
            http.send(
                            HttpClient.request(method, target, path + query, body).build(),
                            Duration.ofMillis(timeout))
                    .whenComplete(this::answered);
        }

        private void answered(HttpAnswer answer, Throwable error) {
            if (error != null) {
                Throwable reason = Failures.causeOf(error);
                boolean sent = !(reason instanceof ConnectException);
                maybeDone |= sent && !method.equals("GET");
                later(
                        new SchedulerException(
                                FailureType.NOT_DISPATCHER,
                                "the dispatcher has not answered: " + reason,
                                RETRY_AFTER_MILLIS));
                return;
            }
            if (answer.isSuccess()) {
                result.complete(answer);
                return;
            }
            FailureBody failure = readFailure(answer);
            maybeDone |= failure.outcome() != Outcome.NOT_RUN;
            SchedulerException cause =
                    new SchedulerException(failure.error(), failure.detail(), RETRY_AFTER_MILLIS);
            boolean downForAll =
                    failure.error() == FailureType.LOG_UNAVAILABLE && reach.get() == Reach.LOG_DOWN;
            if (!ANOTHER_MAY_SERVE.contains(failure.error())) {
                giveUp(cause);
            } else if (!downForAll) {
                later(cause);
            } else if (deadline - started < LAST_CALL_MILLIS) {
                // A try that is cut short would leave the outcome unknown.
                later(cause, deadline - LAST_CALL_RETRY_MILLIS, LAST_CALL_RETRY_MILLIS);
            } else {
                giveUp(cause);
            }
        }

        private void later(SchedulerException cause) {
            later(cause, patienceEnd, FORWARD_RETRY_MILLIS);
        }

        private void later(SchedulerException cause, long until, long pauseMillis) {
            // A call that may have had an effect is worth waiting for: a repeat finds out.
            long end = maybeDone ? deadline - pauseMillis : until;
            if (Clocks.monotonicMillis() + pauseMillis < end) {
                metrics.countRetry(cause.type());
                loop.schedule(this::attempt, pauseMillis, TimeUnit.MILLISECONDS);
            } else {
                giveUp(cause);
            }
        }

        private void giveUp(SchedulerException cause) {
            result.completeExceptionally(maybeDone ? unknown(cause) : cause);
        }

        private SchedulerException unknown(SchedulerException cause) {
            return new SchedulerException(
                    FailureType.OUTCOME_UNKNOWN, "the dispatcher has not answered", 0L, cause);
        }
    }

    private static SchedulerException timeIsOver() {
        return new SchedulerException(
                FailureType.DEADLINE_PASSED, "the time of the caller is over", RETRY_AFTER_MILLIS);
    }

    private static SchedulerException cutOff() {
        return new SchedulerException(
                FailureType.CUT_OFF,
                "neither the log service nor another entry answers",
                RETRY_AFTER_MILLIS);
    }

    private static FailureBody readFailure(HttpAnswer answer) {
        try {
            return answer.read(FailureBody.class);
        } catch (SchedulerException e) {
            return new FailureBody(
                    FailureType.OUTCOME_UNKNOWN, Outcome.UNKNOWN, "status " + answer.status());
        }
    }
}
