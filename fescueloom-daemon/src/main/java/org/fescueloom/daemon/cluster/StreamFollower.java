package org.fescueloom.daemon.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.log.Backoff;
import org.fescueloom.log.LogPage;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.StreamFold;

/**
 * Follows the tail of one stream into a fold, on one thread.
 *
 * <p>The replay starts a number of records before the end. If no snapshot among them gives the
 * state, it starts again from further back, at last from the first record that is kept.
 *
 * @param <F> the type of the fold
 */
public final class StreamFollower<F extends StreamFold> implements AutoCloseable {
    /** Makes the replay start from the first record that is kept. */
    public static final long ALL_RECORDS = Long.MAX_VALUE;

    private static final int PAGE_RECORDS = 512;
    private static final long WINDOW_GROWTH_FACTOR = 8L;
    private static final long POLL_WAIT_MILLIS = 500L;
    private static final long FIRST_RETRY_DELAY_MILLIS = 50L;
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000L;

    private final Backoff backoff =
            new Backoff(
                    FIRST_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS, ThreadLocalRandom.current());
    private final CompletableFuture<Void> whenCaughtUp = new CompletableFuture<>();
    private final TreeMap<Long, List<CompletableFuture<Void>>> futuresByOffset = new TreeMap<>();
    private final LogClient logClient;
    private final String stream;
    private final Supplier<F> factory;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private final StreamListener<F> listener;
    private long windowRecords;
    private F fold;
    private volatile boolean closed;

    /**
     * Creates a follower that does not read yet.
     *
     * @param logClient reads the log, not null
     * @param stream the stream, not null
     * @param factory creates an empty fold, not null
     * @param windowRecords how many records before the end the replay starts, at least 1
     * @param executor the one thread that folds, not null
     * @param metrics counts reads and retries, not null
     * @param listener learns about the progress, not null
     */
    public StreamFollower(
            LogClient logClient,
            String stream,
            Supplier<F> factory,
            long windowRecords,
            ScheduledExecutorService executor,
            Metrics metrics,
            StreamListener<F> listener) {
        this.logClient = Objects.requireNonNull(logClient, "client");
        this.stream = Objects.requireNonNull(stream, "stream");
        this.factory = Objects.requireNonNull(factory, "factory");
        this.windowRecords = windowRecords;
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.fold = factory.get();
    }

    /** Starts to read. */
    public void start() {
        executor.execute(this::locateStart);
    }

    /**
     * Waits until the fold has had every record of the stream once.
     *
     * @return a future that completes then
     */
    public CompletableFuture<Void> whenCaughtUp() {
        return whenCaughtUp.copy();
    }

    /**
     * Waits until the fold has a record.
     *
     * @param offset the offset of the record
     * @return a future that completes when the record is folded
     */
    public CompletableFuture<Void> whenFolded(long offset) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        executor.execute(
                () -> {
                    if (fold.nextOffset() > offset) {
                        done.complete(null);
                    } else {
                        futuresByOffset.computeIfAbsent(offset, o -> new ArrayList<>()).add(done);
                    }
                });
        return done;
    }

    /**
     * Reads from the fold on its thread.
     *
     * @param <T> the type of the result
     * @param function reads from the fold, not null
     * @return a future of the result
     */
    public <T> CompletableFuture<T> query(Function<F, T> function) {
        return CompletableFuture.supplyAsync(() -> function.apply(fold), executor);
    }

    /** Stops to read after the read in progress. */
    @Override
    public void close() {
        closed = true;
    }

    private void locateStart() {
        if (closed) {
            return;
        }
        logClient.readBounds(stream).whenCompleteAsync(this::onBoundsRead, executor);
    }

    private void onBoundsRead(LogPage page, Throwable error) {
        if (error != null) {
            retryAfterFailure(error, this::locateStart);
            return;
        }
        long recordsBack = Math.min(windowRecords, page.next() - page.first());
        fold.skipTo(page.next() - recordsBack);
        readNext();
    }

    private void readNext() {
        if (closed) {
            return;
        }
        long waitMillis = whenCaughtUp.isDone() ? POLL_WAIT_MILLIS : 0L;
        long sentAtMillis = Clocks.monotonicMillis();
        logClient
                .read(stream, fold.nextOffset(), PAGE_RECORDS, waitMillis)
                .whenCompleteAsync(
                        (page, error) -> onPageRead(page, error, sentAtMillis), executor);
    }

    private void onPageRead(LogPage page, Throwable error, long sentAtMillis) {
        if (error != null) {
            retryAfterFailure(error, this::readNext);
            return;
        }
        backoff.reset();
        boolean atEnd;
        try {
            foldPage(page);
            atEnd = fold.nextOffset() == page.next();
            if (!atEnd || fold.isComplete() || !restartFurtherBack(page)) {
                listener.onRead(fold, atEnd, sentAtMillis);
            }
        } catch (RuntimeException e) {
            EventLog.event("fold-failed")
                    .field("stream", stream)
                    .field("next", fold.nextOffset())
                    .error(e)
                    .error();
            metrics.count("log.fold-failures");
            executor.schedule(this::readNext, MAX_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (atEnd && fold.nextOffset() == page.next()) {
            whenCaughtUp.complete(null);
        }
        completeFolded();
        readNext();
    }

    private void foldPage(LogPage page) {
        if (page.first() > fold.nextOffset()) {
            metrics.count("log.expired-unread");
            EventLog.event("log-expired-unread")
                    .field("stream", stream)
                    .field("next", fold.nextOffset())
                    .field("first", page.first())
                    .warn();
            fold.skipTo(page.first());
        }
        for (LogRecord r : page.records()) {
            fold.apply(r);
        }
    }

    /** Starts again from further back, if there are older records that were left out so far. */
    private boolean restartFurtherBack(LogPage page) {
        if (whenCaughtUp.isDone() || windowRecords >= page.next() - page.first()) {
            return false;
        }
        windowRecords =
                windowRecords > ALL_RECORDS / WINDOW_GROWTH_FACTOR
                        ? ALL_RECORDS
                        : windowRecords * WINDOW_GROWTH_FACTOR;
        long recordsBack = Math.min(windowRecords, page.next() - page.first());
        fold = factory.get();
        fold.skipTo(page.next() - recordsBack);
        return true;
    }

    private void retryAfterFailure(Throwable error, Runnable retryAction) {
        if (closed) {
            return;
        }
        FailureType type = Failures.typeOf(error);
        metrics.countRetry(type);
        EventLog.event("log-read-failed")
                .field("stream", stream)
                .field("reason", type.text())
                .debug();
        listener.onReadFailed(Clocks.monotonicMillis());
        executor.schedule(retryAction, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private void completeFolded() {
        var reached = futuresByOffset.headMap(fold.nextOffset(), false);
        List<CompletableFuture<Void>> done = new ArrayList<>();
        reached.values().forEach(done::addAll);
        reached.clear();
        done.forEach(f -> f.complete(null));
    }
}
