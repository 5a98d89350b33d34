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
 * Stores what callers hand in and cancel, whichever entry dispatches, and also while none does.
 *
 * <p>Items are appended without a condition, so an append whose outcome is not known is repeated.
 * While the log service refuses this entry, other entries are asked to store the item.
 */
final class IntakeWriter {
    /** The longest item; the log service takes records of 256 KiB with their key. */
    static final int MAX_REQUEST_BYTES = 250_000;

    /** What one entry stores at most while no dispatcher takes it up; a new one loads all of it. */
    static final int MAX_PENDING_BYTES = 2 << 20;

    /** How long an answer of the log service is awaited before another way is tried. */
    private static final long APPEND_MILLIS = 900;

    /** How long a log service that has failed a call is given to answer a read. */
    private static final long PROBE_MILLIS = 300;

    /** How long another entry is given: one append, and the way there and back. */
    private static final long PEER_MILLIS = 1_000;

    /** The pause before an item whose outcome is not known is stored again. */
    private static final long RETRY_MILLIS = 100;

    /** A caller with less time than this is unlikely to come back after a refusal. */
    private static final long LAST_CALL_MILLIS = 500;

    /** The pause between the tries of a last call. */
    private static final long LAST_CALL_RETRY_MILLIS = 40;

    /** The log service may execute an append seconds after its caller has given up. */
    private static final long LATE_APPEND_MILLIS = 30_000;

    /** Bounds what is remembered of items without a known outcome. */
    private static final int MAX_UNDECIDED = 10_000;

    private static final int FIRST_SERVER_ERROR = 500;

    private final IntakeAppender appender;
    private final HttpClient http;
    private final EntryState surroundings;
    private final ScheduledExecutorService loop;
    private final LogServiceContact clocks;
    private final Metrics metrics;
    private final Map<String, Long> undecidedSince = new LinkedHashMap<>();
    private long waitingBytes;

    /**
     * Tells a writer what its entry knows; asked on the thread of the entry.
     *
     * @param logFails whether the last read of this entry from the log service has failed
     * @param reach what this entry reaches
     * @param peers which entries to ask, the likeliest first
     * @param known whether a job is known here to be stored
     * @param dispatched whether a dispatcher was heard of lately
     */
    record EntryState(
            BooleanSupplier logFailing,
            Supplier<Connectivity> reach,
            Supplier<List<String>> peers,
            Predicate<String> jobStored,
            BooleanSupplier dispatcherAlive) {}

    /**
     * Creates a writer.
     *
     * @param log the log service
     * @param http reaches other entries
     * @param surroundings tells what the entry knows
     * @param loop the thread of the entry
     * @param clocks tells the time
     * @param metrics counts what is stored, refused and tried again
     */
    IntakeWriter(
            KeyedLog log,
            HttpClient http,
            EntryState surroundings,
            ScheduledExecutorService loop,
            LogServiceContact clocks,
            Metrics metrics) {
        this.appender = new IntakeAppender(log, loop, clocks, metrics);
        this.http = http;
        this.surroundings = surroundings;
        this.loop = loop;
        this.clocks = clocks;
        this.metrics = metrics;
    }

    /**
     * Stores an item, through another entry if the log service refuses this one.
     *
     * @param item what to store
     * @param waitMillis the longest time until the answer, in milliseconds
     * @return a future that completes once the item is stored; it fails with an outcome of "not
     *     run" only if no append that this entry knows of can have been or will be executed
     */
    CompletableFuture<Void> store(IntakeRequest item, long waitMillis) {
        return begin(new Call(item, waitMillis, true));
    }

    /** Stores an item for another entry: no further entries are asked. */
    CompletableFuture<Void> storeForPeer(IntakeRequest item, long waitMillis) {
        return begin(new Call(item, waitMillis, false));
    }

    private CompletableFuture<Void> begin(Call call) {
        if (call.encoded.value().length > MAX_REQUEST_BYTES) {
            return CompletableFuture.failedFuture(
                    new SchedulerException(
                            FailureType.BODY_TOO_LARGE,
                            "a job takes at most " + MAX_REQUEST_BYTES + " bytes"));
        }
        loop.execute(call::begin);
        return call.result;
    }

    private long now() {
        return clocks.now().monotonicMillis();
    }

    private boolean mayBeStoredLate(String key) {
        Long since = undecidedSince.get(key);
        return since != null && now() - since < LATE_APPEND_MILLIS;
    }

    private void rememberUndecided(String key) {
        undecidedSince.remove(key);
        undecidedSince.put(key, now());
        Iterator<Long> oldest = undecidedSince.values().iterator();
        while (undecidedSince.size() > MAX_UNDECIDED
                || oldest.hasNext() && now() - oldest.next() >= LATE_APPEND_MILLIS) {
            undecidedSince.remove(undecidedSince.keySet().iterator().next());
            oldest = undecidedSince.values().iterator();
        }
    }

    /** Follows one item until it is stored or its caller has no time left; confined to the loop. */
    private final class Call {
        private final CompletableFuture<Void> result = new CompletableFuture<>();
        private final IntakeRequest item;
        private final KeyedRecord encoded;
        private final boolean mayAskPeers;
        private final long started = now();
        private final long deadline;
        private boolean maybeStored;
        private int tries;

        Call(IntakeRequest item, long waitMillis, boolean mayAskPeers) {
            this.item = item;
            this.encoded = item.toRecord();
            this.mayAskPeers = mayAskPeers;
            deadline = started + waitMillis;
        }

        void begin() {
            maybeStored = mayBeStoredLate(encoded.key());
            loop.schedule(
                    () -> giveUp(CallFailures.deadlinePassed()), left(), TimeUnit.MILLISECONDS);
            attempt();
        }

        private void attempt() {
            if (result.isDone()) {
                return;
            }
            if (item.kind() == IntakeKind.SUBMISSION
                    && surroundings.jobStored().test(item.jobId())) {
                result.complete(null);
            } else if (surroundings.reach().get() == Connectivity.CUT_OFF) {
                giveUp(CallFailures.cutOff());
            } else if (left() <= 0) {
                giveUp(CallFailures.deadlinePassed());
            } else if (tooMuchWaits()) {
                giveUp(
                        new SchedulerException(
                                FailureType.OVERLOADED, "too many jobs wait for a dispatcher"));
            } else if (appender.lastCallFailed() || surroundings.logFailing().getAsBoolean()) {
                probe();
            } else {
                append();
            }
        }

        private boolean tooMuchWaits() {
            if (surroundings.dispatcherAlive().getAsBoolean()) {
                waitingBytes = 0;
            }
            return waitingBytes >= MAX_PENDING_BYTES;
        }

        /** Asks the log service for an answer before an append may be left without one. */
        private void probe() {
            Step step = new Step(this::refusedByLog);
            appender.probe(PROBE_MILLIS)
                    .whenCompleteAsync(
                            (page, error) -> {
                                if (error != null) {
                                    step.fail(unavailable(error));
                                } else if (step.end()) {
                                    append();
                                }
                            },
                            loop);
            step.failAfter(
                    share(PROBE_MILLIS),
                    () -> CallFailures.logUnavailable("the log has not answered a read"));
        }

        /** Appends the item; an answer counts even if it comes after the next step has begun. */
        private void append() {
            tries++;
            CompletableFuture<Void> appended = appender.append(encoded);
            Step step = new Step(this::refusedByLog);
            appended.whenComplete(
                    (v, error) -> {
                        if (error == null) {
                            waitingBytes += encoded.value().length;
                            stored(null);
                        } else {
                            step.fail(Failures.of(error, FailureType.LOG_UNDECIDED));
                        }
                    });
            step.failAfter(
                    share(APPEND_MILLIS),
                    () ->
                            appender.withdraw(appended)
                                    ? CallFailures.logUnavailable("the log is busy")
                                    : CallFailures.logUndecided("the log has not answered"));
        }

        private void refusedByLog(SchedulerException refusal) {
            note(refusal);
            boolean ask = mayAskPeers && surroundings.reach().get() == Connectivity.SERVED;
            List<String> peers = ask ? surroundings.peers().get() : List.of();
            askNext(peers.iterator(), refusal);
        }

        private void askNext(Iterator<String> peers, SchedulerException refusal) {
            if (!peers.hasNext() || left() <= 0) {
                later(refusal);
                return;
            }
            tries++;
            String peer = peers.next();
            long timeout = share(PEER_MILLIS);
            Step step = new Step(failure -> refusedByPeer(failure, peers));
            send(peer, timeout)
                    .whenCompleteAsync(
                            (answer, error) -> {
                                if (error != null) {
                                    step.fail(CallFailures.noAnswer(error));
                                } else if (answer.isSuccess()) {
                                    stored(peer);
                                } else {
                                    step.fail(CallFailures.fromAnswer(answer));
                                }
                            },
                            loop);
            step.failAfter(
                    timeout, () -> CallFailures.logUndecided("another entry has not answered"));
        }

        private CompletableFuture<HttpAnswer> send(String peer, long timeout) {
            // The other entry answers before it is given up, so that the outcome is known.
            long wait = Math.max(1, AnswerTimeMargin.subtractFrom(timeout));
            String path = "/jobs/" + item.jobId() + "?wait=" + wait;
            return http.send(
                    HttpClient.request(item.kind().httpMethod(), peer, path, item.submission())
                            .build(),
                    Duration.ofMillis(Math.max(1, left())));
        }

        private void refusedByPeer(SchedulerException refusal, Iterator<String> peers) {
            note(refusal);
            if (refusal.type().status() < FIRST_SERVER_ERROR) {
                giveUp(refusal);
            } else {
                askNext(peers, refusal);
            }
        }

        private void note(SchedulerException refusal) {
            maybeStored |= refusal.type().outcome() != Outcome.NOT_RUN;
        }

        /** Tries again if the caller cannot, or if an append may have been executed. */
        private void later(SchedulerException refusal) {
            boolean lastCall = deadline - started < LAST_CALL_MILLIS;
            if (maybeStored) {
                again(refusal, RETRY_MILLIS);
            } else if (lastCall && left() > 2 * LAST_CALL_RETRY_MILLIS) {
                // An append that is cut short would leave the outcome unknown.
                again(refusal, LAST_CALL_RETRY_MILLIS);
            } else {
                giveUp(CallFailures.logUnavailable(refusal.getMessage()));
            }
        }

        private void again(SchedulerException refusal, long pauseMillis) {
            metrics.countRetry(refusal.type());
            loop.schedule(this::attempt, pauseMillis, TimeUnit.MILLISECONDS);
        }

        private void giveUp(SchedulerException refusal) {
            if (result.isDone()) {
                return;
            }
            if (maybeStored) {
                rememberUndecided(encoded.key());
            }
            result.completeExceptionally(
                    maybeStored
                            ? new SchedulerException(
                                    FailureType.OUTCOME_UNKNOWN,
                                    "the log has not answered",
                                    0L,
                                    refusal)
                            : refusal);
        }

        private void stored(String through) {
            undecidedSince.remove(encoded.key());
            if (result.isDone()) {
                return;
            }
            metrics.count("intake.stored");
            EventLog.event(item.kind().eventName())
                    .field("job", item.jobId())
                    .field("took", now() - started)
                    .field("tries", tries)
                    .field("through", through)
                    .info();
            result.complete(null);
        }

        private long left() {
            return deadline - now();
        }

        /** Returns how long one step may take, so that time for another one remains. */
        private long share(long mostMillis) {
            return Math.max(1, Math.min(mostMillis, left() / 2));
        }

        /** Is one try to store the item; the next one begins when this one fails or takes long. */
        private final class Step {
            private final Consumer<SchedulerException> next;
            private boolean over;

            Step(Consumer<SchedulerException> next) {
                this.next = next;
            }

            /** Ends the step; tells whether it had not ended before. */
            boolean end() {
                boolean first = !over && !result.isDone();
                over = true;
                return first;
            }

            void fail(SchedulerException failure) {
                if (end()) {
                    next.accept(failure);
                }
            }

            void failAfter(long millis, Supplier<SchedulerException> failure) {
                loop.schedule(
                        () -> {
                            if (!over && !result.isDone()) {
                                fail(failure.get());
                            }
                        },
                        millis,
                        TimeUnit.MILLISECONDS);
            }
        }
    }

    private static SchedulerException unavailable(Throwable error) {
        return CallFailures.logUnavailable(String.valueOf(Failures.causeOf(error).getMessage()));
    }
}
