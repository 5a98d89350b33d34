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

    private static final int PAGE = 512;
    private static final long WINDOW_GROWTH = 8L;
    private static final long WAIT_MILLIS = 500L;
    private static final long FIRST_DELAY_MILLIS = 50L;
    private static final long LIMIT_DELAY_MILLIS = 1_000L;

    private final Backoff backoff =
            new Backoff(FIRST_DELAY_MILLIS, LIMIT_DELAY_MILLIS, ThreadLocalRandom.current());
    private final CompletableFuture<Void> caughtUp = new CompletableFuture<>();
    private final TreeMap<Long, List<CompletableFuture<Void>>> waiting = new TreeMap<>();
    private final LogClient client;
    private final String stream;
    private final Supplier<F> factory;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private final StreamListener<F> listener;
    private long window;
    private F fold;
    private volatile boolean closed;

    /**
     * Creates a follower that does not read yet.
     *
     * @param client reads the log, not null
     * @param stream the stream, not null
     * @param factory creates an empty fold, not null
     * @param window how many records before the end the replay starts, at least 1
     * @param executor the one thread that folds, not null
     * @param metrics counts reads and retries, not null
     * @param listener learns about the progress, not null
     */
    public StreamFollower(
            LogClient client,
            String stream,
            Supplier<F> factory,
            long window,
            ScheduledExecutorService executor,
            Metrics metrics,
            StreamListener<F> listener) {
        this.client = Objects.requireNonNull(client, "client");
        this.stream = Objects.requireNonNull(stream, "stream");
        this.factory = Objects.requireNonNull(factory, "factory");
        this.window = window;
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.fold = factory.get();
    }

    /** Starts to read. */
    public void start() {
        executor.execute(this::locate);
    }

    /**
     * Waits until the fold has had every record of the stream once.
     *
     * @return a future that completes then
     */
    public CompletableFuture<Void> caughtUp() {
        return caughtUp.copy();
    }

    /**
     * Waits until the fold has a record.
     *
     * @param offset the offset of the record
     * @return a future that completes when the record is folded
     */
    public CompletableFuture<Void> folded(long offset) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        executor.execute(
                () -> {
                    if (fold.nextOffset() > offset) {
                        done.complete(null);
                    } else {
                        waiting.computeIfAbsent(offset, o -> new ArrayList<>()).add(done);
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

    private void locate() {
        if (closed) {
            return;
        }
        client.describe(stream).whenCompleteAsync(this::located, executor);
    }

    private void located(LogPage page, Throwable error) {
        if (error != null) {
            failed(error, this::locate);
            return;
        }
        long back = Math.min(window, page.next() - page.first());
        fold.skipTo(page.next() - back);
        poll();
    }

    private void poll() {
        if (closed) {
            return;
        }
        long wait = caughtUp.isDone() ? WAIT_MILLIS : 0L;
        long sentAt = Clocks.monotonicMillis();
        client.read(stream, fold.nextOffset(), PAGE, wait)
                .whenCompleteAsync((page, error) -> answered(page, error, sentAt), executor);
    }

    private void answered(LogPage page, Throwable error, long sentAt) {
        if (error != null) {
            failed(error, this::poll);
            return;
        }
        backoff.reset();
        boolean atEnd;
        try {
            foldPage(page);
            atEnd = fold.nextOffset() == page.next();
            if (!atEnd || fold.isComplete() || !widen(page)) {
                listener.onRead(fold, atEnd, sentAt);
            }
        } catch (RuntimeException e) {
            EventLog.event("fold-failed")
                    .field("stream", stream)
                    .field("next", fold.nextOffset())
                    .error(e)
                    .error();
            metrics.count("log.fold-failures");
            executor.schedule(this::poll, LIMIT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (atEnd && fold.nextOffset() == page.next()) {
            caughtUp.complete(null);
        }
        completeWaiting();
        poll();
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
    private boolean widen(LogPage page) {
        if (caughtUp.isDone() || window >= page.next() - page.first()) {
            return false;
        }
        window = window > ALL_RECORDS / WINDOW_GROWTH ? ALL_RECORDS : window * WINDOW_GROWTH;
        long back = Math.min(window, page.next() - page.first());
        fold = factory.get();
        fold.skipTo(page.next() - back);
        return true;
    }

    private void failed(Throwable error, Runnable again) {
        if (closed) {
            return;
        }
        FailureType type = Failures.typeOf(error);
        metrics.countRetry(type);
        EventLog.event("log-read-failed")
                .field("stream", stream)
                .field("reason", type.text())
                .debug();
        listener.onFailure(Clocks.monotonicMillis());
        executor.schedule(again, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private void completeWaiting() {
        var reached = waiting.headMap(fold.nextOffset(), false);
        List<CompletableFuture<Void>> done = new ArrayList<>();
        reached.values().forEach(done::addAll);
        reached.clear();
        done.forEach(f -> f.complete(null));
    }
}
