package org.fescueloom.daemon.dispatch;

import java.net.ConnectException;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fescueloom.daemon.http.HttpAnswer;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureBody;
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
    static final int MAX_ITEM_BYTES = 250_000;

    /** How long an answer of the log service is awaited; it answers in some 6 ms when healthy. */
    private static final long APPEND_MILLIS = 900;

    /** How long a log service that has not answered lately is given to answer a read. */
    private static final long PROBE_MILLIS = 300;

    /** How long another entry is given: one append, and the way there and back. */
    private static final long PEER_MILLIS = 1_000;

    /** The pause before an item whose outcome is not known is stored again. */
    private static final long RETRY_MILLIS = 100;

    /**
     * A call with less time than this is likely the last one of its caller: a refused caller comes
     * back after some 0.15 s and a third of what it has left, and not with too little left.
     */
    private static final long LAST_CALL_MILLIS = 500;

    /** The pause between the tries of such a call. */
    private static final long LAST_CALL_RETRY_MILLIS = 40;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** After these another entry, or a later try, may store the item. */
    private static final Set<FailureType> ANOTHER_MAY_SERVE =
            EnumSet.of(
                    FailureType.CUT_OFF,
                    FailureType.DEADLINE_PASSED,
                    FailureType.LOG_UNAVAILABLE,
                    FailureType.LOG_UNDECIDED,
                    FailureType.NOT_DISPATCHER,
                    FailureType.OUTCOME_UNKNOWN);

    private final IntakeAppender appender;
    private final HttpClient http;
    private final Neighbours neighbours;
    private final ScheduledExecutorService loop;
    private final StoreContact clocks;
    private final Metrics metrics;

    /**
     * Tells a writer what its entry knows; asked on the thread of the entry.
     *
     * @param logFails whether the log service has failed this entry lately
     * @param reach what this entry reaches
     * @param peers which entries to ask, the likeliest first
     * @param known whether a job is known here to be stored
     */
    record Neighbours(
            BooleanSupplier logFails,
            Supplier<Reach> reach,
            Supplier<List<String>> peers,
            Predicate<String> known) {}

    /**
     * Creates a writer.
     *
     * @param log the log service
     * @param http reaches other entries
     * @param neighbours tells what the entry knows
     * @param loop the thread of the entry
     * @param clocks tells the time
     * @param metrics counts what is stored, refused and tried again
     */
    IntakeWriter(
            KeyedLog log,
            HttpClient http,
            Neighbours neighbours,
            ScheduledExecutorService loop,
            StoreContact clocks,
            Metrics metrics) {
        this.appender = new IntakeAppender(log, loop, metrics);
        this.http = http;
        this.neighbours = neighbours;
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
     *     run" only if no append of it can have been or will be executed
     */
    CompletableFuture<Void> store(IntakeItem item, long waitMillis) {
        return begin(new Storing(item, waitMillis, true));
    }

    /** Stores an item for another entry: no further entries are asked. */
    CompletableFuture<Void> storeForPeer(IntakeItem item, long waitMillis) {
        return begin(new Storing(item, waitMillis, false));
    }

    private CompletableFuture<Void> begin(Storing storing) {
        if (storing.encoded.value().length > MAX_ITEM_BYTES) {
            return CompletableFuture.failedFuture(
                    new SchedulerException(
                            FailureType.BODY_TOO_LARGE,
                            "a job takes at most " + MAX_ITEM_BYTES + " bytes"));
        }
        loop.execute(storing::attempt);
        return storing.result;
    }

    private long now() {
        return clocks.now().steadyMillis();
    }

    /** Follows one item until it is stored or its caller has no time left; confined to the loop. */
    private final class Storing {
        private final CompletableFuture<Void> result = new CompletableFuture<>();
        private final IntakeItem item;
        private final KeyedRecord encoded;
        private final boolean mayAskPeers;
        private final long started = now();
        private final long deadline;
        private boolean maybeStored;
        private int tries;

        Storing(IntakeItem item, long waitMillis, boolean mayAskPeers) {
            this.item = item;
            this.encoded = item.encode();
            this.mayAskPeers = mayAskPeers;
            deadline = started + waitMillis;
        }

        void attempt() {
            if (result.isDone()) {
                return;
            }
            if (item.kind() == IntakeKind.SUBMISSION && neighbours.known().test(item.job())) {
                result.complete(null);
            } else if (neighbours.reach().get() == Reach.CUT_OFF) {
                giveUp(JobForwarder.cutOff());
            } else if (left() <= 0) {
                giveUp(JobForwarder.timeIsOver());
            } else if (appender.failing() || neighbours.logFails().getAsBoolean()) {
                probe();
            } else {
                append();
            }
        }

        /** Finds out whether the log service answers before an append may be left undecided. */
        private void probe() {
            CompletableFuture<Void> answered = new CompletableFuture<>();
            appender.probe()
                    .whenCompleteAsync(
                            (page, error) -> {
                                if (error == null) {
                                    answered.complete(null);
                                } else {
                                    answered.completeExceptionally(error);
                                }
                            },
                            loop);
            answered.whenComplete(
                    (v, error) -> {
                        if (error == null) {
                            append();
                        } else {
                            failed(unavailable(Failures.causeOf(error).getMessage()));
                        }
                    });
            loop.schedule(
                    () ->
                            answered.completeExceptionally(
                                    new TimeoutException("the log has not answered")),
                    share(PROBE_MILLIS),
                    TimeUnit.MILLISECONDS);
        }

        /**
         * Appends the item; goes on without the answer if it takes long, and takes it if it comes.
         */
        private void append() {
            tries++;
            CompletableFuture<Void> appended = appender.append(encoded);
            Way way = new Way(this::failed);
            appended.whenComplete(
                    (v, error) -> {
                        if (error == null) {
                            stored("");
                        } else {
                            way.end(Failures.of(error, FailureType.LOG_UNDECIDED));
                        }
                    });
            loop.schedule(
                    () -> {
                        boolean neverSent = appender.withdraw(appended);
                        way.end(
                                neverSent
                                        ? unavailable("the log is busy")
                                        : undecided("the log has not answered"));
                    },
                    share(APPEND_MILLIS),
                    TimeUnit.MILLISECONDS);
        }

        private void failed(SchedulerException cause) {
            note(cause);
            boolean ask = mayAskPeers && neighbours.reach().get() == Reach.SERVED;
            List<String> peers = ask ? neighbours.peers().get() : List.of();
            askNext(peers.iterator(), cause);
        }

        private void askNext(Iterator<String> peers, SchedulerException cause) {
            if (!peers.hasNext() || left() <= 0 || result.isDone()) {
                later(cause);
                return;
            }
            tries++;
            String peer = peers.next();
            long timeout = share(PEER_MILLIS);
            Way way = new Way(refusal -> refused(refusal, peers));
            send(peer, timeout)
                    .whenCompleteAsync(
                            (answer, error) -> {
                                if (error == null && answer.isSuccess()) {
                                    stored(peer);
                                } else {
                                    way.end(refusal(answer, error));
                                }
                            },
                            loop);
            loop.schedule(
                    () -> way.end(undecided("another entry has not answered")),
                    timeout,
                    TimeUnit.MILLISECONDS);
        }

        private CompletableFuture<HttpAnswer> send(String peer, long timeout) {
            // The other entry answers before it is given up, so that the outcome is known.
            long wait = Math.max(1, AnswerMargin.before(timeout));
            String path = "/jobs/" + item.job() + "?wait=" + wait;
            return http.send(
                    HttpClient.request(item.kind().method(), peer, path, item.submission()).build(),
                    Duration.ofMillis(Math.max(1, left())));
        }

        private void refused(SchedulerException refusal, Iterator<String> peers) {
            note(refusal);
            if (ANOTHER_MAY_SERVE.contains(refusal.type())) {
                askNext(peers, refusal);
            } else {
                giveUp(refusal);
            }
        }

        private void note(SchedulerException cause) {
            maybeStored |= cause.type().outcome() != Outcome.NOT_RUN;
        }

        /** Tries again if the caller cannot, or if an append may have been executed. */
        private void later(SchedulerException cause) {
            boolean lastCall = deadline - started < LAST_CALL_MILLIS;
            if (maybeStored) {
                // The answer to an append that is under way may still come.
                again(cause, Math.max(0, Math.min(RETRY_MILLIS, left())));
            } else if (lastCall && left() > 2 * LAST_CALL_RETRY_MILLIS) {
                // An append that is cut short would leave the outcome unknown.
                again(cause, LAST_CALL_RETRY_MILLIS);
            } else {
                giveUp(unavailable(cause.getMessage()));
            }
        }

        private void again(SchedulerException cause, long pause) {
            metrics.countRetry(cause.type());
            loop.schedule(this::attempt, pause, TimeUnit.MILLISECONDS);
        }

        private void giveUp(SchedulerException refusal) {
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
            if (result.isDone()) {
                return;
            }
            metrics.count("intake.stored");
            EventLog.event(item.kind().event())
                    .field("job", item.job())
                    .field("took", now() - started)
                    .field("tries", tries)
                    .field("through", through.isEmpty() ? null : through)
                    .info();
            result.complete(null);
        }

        private long left() {
            return deadline - now();
        }

        /** Returns how long one try may take, so that another way remains after it. */
        private long share(long mostMillis) {
            return Math.max(1, Math.min(mostMillis, left() / 2));
        }
    }

    /** Goes on once, whether a try has failed or only takes long. */
    private static final class Way {
        private final Consumer<SchedulerException> next;
        private boolean over;

        Way(Consumer<SchedulerException> next) {
            this.next = next;
        }

        void end(SchedulerException cause) {
            if (!over) {
                over = true;
                next.accept(cause);
            }
        }
    }

    private static SchedulerException unavailable(String detail) {
        return new SchedulerException(FailureType.LOG_UNAVAILABLE, detail, RETRY_AFTER_MILLIS);
    }

    private static SchedulerException undecided(String detail) {
        return new SchedulerException(FailureType.LOG_UNDECIDED, detail);
    }

    private static SchedulerException refusal(HttpAnswer answer, Throwable error) {
        if (error != null) {
            Throwable reason = Failures.causeOf(error);
            String detail = "another entry has not answered: " + reason;
            return reason instanceof ConnectException ? unavailable(detail) : undecided(detail);
        }
        FailureBody failure = JobForwarder.readFailure(answer);
        return new SchedulerException(failure.error(), failure.detail(), RETRY_AFTER_MILLIS);
    }
}
