package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;
import org.fescueloom.log.Backoff;

/**
 * Follows the log that all entries write, for the dispatcher.
 *
 * <p>Records may be handed over more than once, but never out of order, unless the log service has
 * dropped its history: then the newest record of each key is handed over again. Confined to the
 * thread of its owner.
 */
final class IntakeFollower {
    /** How long one read waits; short enough to notice a silent connection within seconds. */
    private static final Duration WAIT = Duration.ofMillis(1_000);

    /** Keeps a log service that does not wait from being asked without a pause. */
    private static final long PAUSE_MILLIS = 10;

    private static final long FIRST_RETRY_MILLIS = 40;
    private static final long MAX_RETRY_MILLIS = 400;

    private final KeyedLog log;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;
    private final Consumer<LatestRecords> allTaker;
    private final Consumer<List<KeyedRecord>> taker;
    private final Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, new Random());
    private CompletableFuture<Void> reading;
    private CompletableFuture<Void> waiting;
    private long offset;
    private boolean failing;
    private boolean closed;

    /**
     * Creates a follower that has read nothing.
     *
     * @param log the log service
     * @param offset where to begin
     * @param loop the thread of the owner
     * @param metrics counts what is read
     * @param allTaker takes the newest record of each key after older ones were dropped
     * @param taker takes records in order
     */
    IntakeFollower(
            KeyedLog log,
            long offset,
            ScheduledExecutorService loop,
            Metrics metrics,
            Consumer<LatestRecords> allTaker,
            Consumer<List<KeyedRecord>> taker) {
        this.log = log;
        this.offset = offset;
        this.loop = loop;
        this.metrics = metrics;
        this.allTaker = allTaker;
        this.taker = taker;
    }

    /** Begins to read. */
    void start() {
        readOn();
    }

    /** Reads nothing any more. */
    void close() {
        closed = true;
    }

    /**
     * Hands over all that is stored now; calls at the same time share the reads.
     *
     * @return a future that fails as {@link KeyedLog#read} does
     */
    CompletableFuture<Void> catchUp() {
        if (reading == null) {
            reading = readToEnd();
            reading.whenCompleteAsync((v, error) -> caughtUp(), loop);
            return reading;
        }
        // A read that is under way may have left the log service before this call.
        if (waiting == null) {
            waiting = new CompletableFuture<>();
        }
        return waiting;
    }

    private void caughtUp() {
        reading = null;
        CompletableFuture<Void> next = waiting;
        waiting = null;
        if (next != null) {
            catchUp()
                    .whenComplete(
                            (v, error) -> {
                                if (error == null) {
                                    next.complete(null);
                                } else {
                                    next.completeExceptionally(error);
                                }
                            });
        }
    }

    private CompletableFuture<Void> readToEnd() {
        return read(Duration.ZERO)
                .thenComposeAsync(
                        end ->
                                closed || end <= offset
                                        ? CompletableFuture.completedFuture(null)
                                        : readToEnd(),
                        loop);
    }

    private void readOn() {
        if (closed) {
            return;
        }
        read(WAIT)
                .whenCompleteAsync(
                        (end, error) -> {
                            if (error == null) {
                                regained();
                            } else {
                                lost(Failures.causeOf(error));
                            }
                            long pause = error == null ? PAUSE_MILLIS : backoff.nextMillis();
                            loop.schedule(this::readOn, pause, TimeUnit.MILLISECONDS);
                        },
                        loop);
    }

    /** Reads once; the future tells where the log ended. */
    private CompletableFuture<Long> read(Duration wait) {
        long from = offset;
        return log.read(IntakeRequest.TOPIC, from, wait)
                .thenComposeAsync(
                        slice -> {
                            if (slice.expired()) {
                                return reload(from);
                            }
                            take(from, slice.records());
                            return CompletableFuture.completedFuture(slice.endOffset());
                        },
                        loop);
    }

    private CompletableFuture<Long> reload(long from) {
        EventLog.event("intake-history-lost").field("offset", from).warn();
        metrics.count("intake.reloads");
        return LatestRecords.read(log, IntakeRequest.TOPIC)
                .thenApplyAsync(
                        content -> {
                            if (!closed && content.resumeOffset() >= offset) {
                                offset = content.resumeOffset();
                                allTaker.accept(content);
                            }
                            return offset;
                        },
                        loop);
    }

    /** Hands over records that begin at an offset, but those that were handed over before. */
    private void take(long from, List<KeyedRecord> records) {
        int known = (int) Math.min(records.size(), offset - from);
        if (!closed && known < records.size()) {
            offset = from + records.size();
            taker.accept(records.subList(known, records.size()));
        }
    }

    private void lost(Throwable error) {
        if (!failing) {
            failing = true;
            EventLog.event("intake-lost").field("offset", offset).error(error).warn();
        }
    }

    private void regained() {
        backoff.reset();
        if (failing) {
            failing = false;
            EventLog.event("intake-regained").field("offset", offset).info();
        }
    }
}
