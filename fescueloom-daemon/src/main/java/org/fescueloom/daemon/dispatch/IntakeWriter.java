package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fescueloom.daemon.http.HttpAnswer;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;

/**
 * Stores submissions and cancellations of callers in the intake log, whichever entry is the
 * dispatcher and also while there is none.
 *
 * <p>Requests are appended without a condition, so an append whose outcome is unknown is repeated.
 * While the log service refuses calls of this entry, other entries are asked to store the request.
 */
final class IntakeWriter {
    /**
     * Maximum size of an encoded request; the log service accepts records of up to 256 KiB,
     * including the key.
     */
    static final int MAX_REQUEST_BYTES = 250_000;

    /**
     * Maximum number of bytes that one entry stores while there is no dispatcher; a new dispatcher
     * loads all of them.
     */
    static final int MAX_PENDING_BYTES = 2 << 20;

    /**
     * Time to wait for the response to an append before another entry is asked or the append is
     * retried.
     */
    private static final long APPEND_TIMEOUT_MILLIS = 900;

    /** Time to wait for the response to a read after a call to the log service has failed. */
    private static final long PROBE_TIMEOUT_MILLIS = 300;

    /**
     * Time to wait for another entry: one append, and the transit time of the call and its
     * response.
     */
    private static final long PEER_TIMEOUT_MILLIS = 1_000;

    /** Pause before a request with unknown outcome is stored again. */
    private static final long RETRY_MILLIS = 100;

    /** A caller whose wait time is shorter is unlikely to repeat the call after a failure. */
    private static final long SHORT_WAIT_MILLIS = 500;

    /** Pause before a request of a caller with a short wait time is stored again. */
    private static final long SHORT_WAIT_RETRY_MILLIS = 40;

    /**
     * Time for which an append without a response may still be executed; the log service may
     * execute an append seconds after its caller has stopped waiting.
     */
    private static final long MAX_APPEND_DELAY_MILLIS = 30_000;

    /** Limits the number of keys whose outcome is remembered as unknown. */
    private static final int MAX_UNKNOWN_OUTCOMES = 10_000;

    private static final int FIRST_SERVER_ERROR = 500;

    private final IntakeAppender appender;
    private final HttpClient http;
    private final EntryState entryState;
    private final ScheduledExecutorService loop;
    private final LogServiceContact clocks;
    private final Metrics metrics;
    private final Map<String, Long> unknownOutcomeSince = new LinkedHashMap<>();
    private long pendingBytes;

    /**
     * Gives access to the state of the entry; called on the event loop of the entry.
     *
     * @param logFailing whether the entry's last read from the log service has failed
     * @param connectivity what the entry can reach
     * @param peers the addresses of the entries to ask, most likely to succeed first
     * @param jobStored whether the entry knows that a job is stored
     * @param dispatcherAlive whether the entry is the dispatcher or has recently heard from it
     */
    record EntryState(
            BooleanSupplier logFailing,
            Supplier<Connectivity> connectivity,
            Supplier<List<String>> peers,
            Predicate<String> jobStored,
            BooleanSupplier dispatcherAlive) {}

    /**
     * Creates a writer.
     *
     * @param log the log service
     * @param http sends requests to other entries
     * @param entryState gives access to the state of the entry
     * @param loop the event loop of the entry
     * @param clocks the clocks
     * @param metrics counts stored requests, appends and retries
     */
    IntakeWriter(
            KeyedLog log,
            HttpClient http,
            EntryState entryState,
            ScheduledExecutorService loop,
            LogServiceContact clocks,
            Metrics metrics) {
        this.appender = new IntakeAppender(log, loop, clocks, metrics);
        this.http = http;
        this.entryState = entryState;
        this.loop = loop;
        this.clocks = clocks;
        this.metrics = metrics;
    }

    /**
     * Stores a request, through another entry if the log service refuses calls of this one.
     *
     * @param request the request
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return a future that completes once the request is stored; it fails with the outcome "not
     *     run" only if no append that this entry knows of has been or will be executed
     */
    CompletableFuture<Void> store(IntakeRequest request, long waitMillis) {
        return start(new StoreCall(request, waitMillis, true));
    }

    /** Stores a request on behalf of another entry, without asking further entries. */
    CompletableFuture<Void> storeForPeer(IntakeRequest request, long waitMillis) {
        return start(new StoreCall(request, waitMillis, false));
    }

    private CompletableFuture<Void> start(StoreCall call) {
        if (call.encoded.value().length > MAX_REQUEST_BYTES) {
            return CompletableFuture.failedFuture(
                    new SchedulerException(
                            FailureType.BODY_TOO_LARGE,
                            "a job must have at most "
                                    + MAX_REQUEST_BYTES
                                    + " bytes, but has "
                                    + call.encoded.value().length));
        }
        loop.execute(call::start);
        return call.result;
    }

    private long now() {
        return clocks.now().monotonicMillis();
    }

    private boolean mayStillBeAppended(String key) {
        Long since = unknownOutcomeSince.get(key);
        return since != null && now() - since < MAX_APPEND_DELAY_MILLIS;
    }

    private void rememberUnknownOutcome(String key) {
        unknownOutcomeSince.remove(key);
        unknownOutcomeSince.put(key, now());
        Iterator<Long> oldest = unknownOutcomeSince.values().iterator();
        while (unknownOutcomeSince.size() > MAX_UNKNOWN_OUTCOMES
                || oldest.hasNext() && now() - oldest.next() >= MAX_APPEND_DELAY_MILLIS) {
            unknownOutcomeSince.remove(unknownOutcomeSince.keySet().iterator().next());
            oldest = unknownOutcomeSince.values().iterator();
        }
    }

    /**
     * Repeats the attempts to store one request until one succeeds or the caller stops waiting;
     * confined to the event loop.
     */
    private final class StoreCall {
        private final CompletableFuture<Void> result = new CompletableFuture<>();
        private final IntakeRequest request;
        private final KeyedRecord encoded;
        private final boolean mayAskPeers;
        private final long startMillis = now();
        private final long deadlineMillis;
        private boolean possiblyStored;
        private int tries;

        StoreCall(IntakeRequest request, long waitMillis, boolean mayAskPeers) {
            this.request = request;
            this.encoded = request.toRecord();
            this.mayAskPeers = mayAskPeers;
            deadlineMillis = startMillis + waitMillis;
        }

        void start() {
            possiblyStored = mayStillBeAppended(encoded.key());
            loop.schedule(
                    () -> fail(CallFailures.deadlinePassed()),
                    remainingMillis(),
                    TimeUnit.MILLISECONDS);
            attempt();
        }

        private void attempt() {
            if (result.isDone()) {
                return;
            }
            if (request.kind() == IntakeKind.SUBMISSION
                    && entryState.jobStored().test(request.jobId())) {
                result.complete(null);
            } else if (entryState.connectivity().get() == Connectivity.CUT_OFF) {
                fail(CallFailures.cutOff());
            } else if (remainingMillis() <= 0) {
                fail(CallFailures.deadlinePassed());
            } else if (pendingLimitReached()) {
                fail(
                        new SchedulerException(
                                FailureType.OVERLOADED,
                                "too many jobs wait for a dispatcher: "
                                        + pendingBytes
                                        + " bytes, limit "
                                        + MAX_PENDING_BYTES));
            } else if (appender.lastCallFailed() || entryState.logFailing().getAsBoolean()) {
                probe();
            } else {
                append();
            }
        }

        private boolean pendingLimitReached() {
            if (entryState.dispatcherAlive().getAsBoolean()) {
                pendingBytes = 0;
            }
            return pendingBytes >= MAX_PENDING_BYTES;
        }

        /**
         * Checks with a read that the log service responds, because an append to which it does not
         * respond would have an unknown outcome.
         */
        private void probe() {
            Step step = new Step(this::onLogFailure);
            appender.probe(PROBE_TIMEOUT_MILLIS)
                    .whenCompleteAsync(
                            (page, error) -> {
                                if (error != null) {
                                    step.fail(logUnavailable(error));
                                } else if (step.finish()) {
                                    append();
                                }
                            },
                            loop);
            step.failAfter(
                    stepTimeout(PROBE_TIMEOUT_MILLIS),
                    () ->
                            CallFailures.logUnavailable(
                                    "the log service has not responded to a read in time"));
        }

        /** Appends the request; a late response counts even if the next step has started. */
        private void append() {
            tries++;
            CompletableFuture<Void> appended = appender.append(encoded);
            Step step = new Step(this::onLogFailure);
            appended.whenComplete(
                    (v, error) -> {
                        if (error == null) {
                            pendingBytes += encoded.value().length;
                            succeed(null);
                        } else {
                            step.fail(Failures.of(error, FailureType.LOG_UNDECIDED));
                        }
                    });
            step.failAfter(
                    stepTimeout(APPEND_TIMEOUT_MILLIS),
                    () ->
                            appender.withdraw(appended)
                                    ? CallFailures.logUnavailable(
                                            "the log service is busy; the append was not sent")
                                    : CallFailures.logUndecided(
                                            "the log service has not responded to an append in"
                                                    + " time"));
        }

        private void onLogFailure(SchedulerException failure) {
            recordOutcome(failure);
            boolean askPeers =
                    mayAskPeers && entryState.connectivity().get() == Connectivity.SERVED;
            List<String> peers = askPeers ? entryState.peers().get() : List.of();
            tryNextPeer(peers.iterator(), failure);
        }

        private void tryNextPeer(Iterator<String> peers, SchedulerException failure) {
            if (!peers.hasNext() || remainingMillis() <= 0) {
                retryOrFail(failure);
                return;
            }
            tries++;
            String peer = peers.next();
            long timeout = stepTimeout(PEER_TIMEOUT_MILLIS);
            Step step = new Step(peerFailure -> onPeerFailure(peerFailure, peers));
            send(peer, timeout)
                    .whenCompleteAsync(
                            (answer, error) -> {
                                if (error != null) {
                                    step.fail(CallFailures.noAnswer(error));
                                } else if (answer.isSuccess()) {
                                    succeed(peer);
                                } else {
                                    step.fail(CallFailures.fromAnswer(answer));
                                }
                            },
                            loop);
            step.failAfter(
                    timeout,
                    () -> CallFailures.logUndecided("another entry has not responded in time"));
        }

        private CompletableFuture<HttpAnswer> send(String peer, long timeout) {
            // The other entry responds before this one stops waiting, so that the outcome is known.
            long wait = Math.max(1, AnswerTimeMargin.subtractFrom(timeout));
            String path = "/jobs/" + request.jobId() + "?wait=" + wait;
            return http.send(
                    HttpClient.request(
                                    request.kind().httpMethod(), peer, path, request.submission())
                            .build(),
                    Duration.ofMillis(Math.max(1, remainingMillis())));
        }

        private void onPeerFailure(SchedulerException failure, Iterator<String> peers) {
            recordOutcome(failure);
            if (failure.type().status() < FIRST_SERVER_ERROR) {
                fail(failure);
            } else {
                tryNextPeer(peers, failure);
            }
        }

        private void recordOutcome(SchedulerException failure) {
            possiblyStored |= failure.type().outcome() != Outcome.NOT_RUN;
        }

        /**
         * Retries if an append may have been executed, or if the caller has too little time to
         * repeat the call; fails otherwise.
         */
        private void retryOrFail(SchedulerException failure) {
            boolean shortWait = deadlineMillis - startMillis < SHORT_WAIT_MILLIS;
            if (possiblyStored) {
                scheduleRetry(failure, RETRY_MILLIS);
            } else if (shortWait && remainingMillis() > 2 * SHORT_WAIT_RETRY_MILLIS) {
                // An append without enough time for its response would have an unknown outcome.
                scheduleRetry(failure, SHORT_WAIT_RETRY_MILLIS);
            } else {
                fail(CallFailures.logUnavailable(failure.getMessage()));
            }
        }

        private void scheduleRetry(SchedulerException failure, long pauseMillis) {
            metrics.countRetry(failure.type());
            loop.schedule(this::attempt, pauseMillis, TimeUnit.MILLISECONDS);
        }

        private void fail(SchedulerException failure) {
            if (result.isDone()) {
                return;
            }
            if (possiblyStored) {
                rememberUnknownOutcome(encoded.key());
            }
            result.completeExceptionally(
                    possiblyStored
                            ? new SchedulerException(
                                    FailureType.OUTCOME_UNKNOWN,
                                    "whether the request is stored is unknown",
                                    0L,
                                    failure)
                            : failure);
        }

        private void succeed(String peer) {
            unknownOutcomeSince.remove(encoded.key());
            if (result.isDone()) {
                return;
            }
            metrics.count("intake.stored");
            EventLog.event(request.kind().eventName())
                    .field("job", request.jobId())
                    .field("took", now() - startMillis)
                    .field("tries", tries)
                    .field("through", peer)
                    .info();
            result.complete(null);
        }

        private long remainingMillis() {
            return deadlineMillis - now();
        }

        /** Returns the timeout of one step, which leaves time for another step. */
        private long stepTimeout(long maxMillis) {
            return Math.max(1, Math.min(maxMillis, remainingMillis() / 2));
        }

        /**
         * Represents one attempt to store the request; its failure or timeout starts the next step.
         */
        private final class Step {
            private final Consumer<SchedulerException> onFailure;
            private boolean finished;

            Step(Consumer<SchedulerException> onFailure) {
                this.onFailure = onFailure;
            }

            /**
             * Ends the step.
             *
             * @return whether neither this step nor the whole call had ended before
             */
            boolean finish() {
                boolean first = !finished && !result.isDone();
                finished = true;
                return first;
            }

            void fail(SchedulerException failure) {
                if (finish()) {
                    onFailure.accept(failure);
                }
            }

            void failAfter(long millis, Supplier<SchedulerException> failure) {
                loop.schedule(
                        () -> {
                            if (!finished && !result.isDone()) {
                                fail(failure.get());
                            }
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    private static SchedulerException logUnavailable(Throwable error) {
        return CallFailures.logUnavailable(String.valueOf(Failures.causeOf(error).getMessage()));
    }
}
