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
 * Reads one stream, folds its records on one thread, and then waits for further records.
 *
 * <p>The replay starts a number of records before the end of the stream: the replay window. If no
 * snapshot among these records gives the fold its state, the replay restarts with a larger window,
 * which in the end covers all records that the log still holds.
 *
 * @param <F> the type of the fold
 */
public final class StreamFollower<F extends StreamFold> implements AutoCloseable {
    /** The replay window that covers all records that the log still holds. */
    public static final long ALL_RECORDS = Long.MAX_VALUE;

    /** The maximum number of records in one read. */
    private static final int PAGE_RECORDS = 512;

    /** The factor by which the replay window grows when the replay restarts. */
    private static final long WINDOW_GROWTH_FACTOR = 8L;

    /** The time for which the log service waits for a new record before it responds to a read. */
    private static final long POLL_WAIT_MILLIS = 500L;

    /** The upper bound of the first retry delay; the bound doubles with each further retry. */
    private static final long FIRST_RETRY_DELAY_MILLIS = 50L;

    /** The upper bound of every retry delay, and the delay after a record could not be folded. */
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000L;

    private final Backoff backoff =
            new Backoff(
                    FIRST_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS, ThreadLocalRandom.current());
    private final CompletableFuture<Void> caughtUp = new CompletableFuture<>();

    /** The futures of {@link #whenFolded} that have not completed, by the offset of the record. */
    private final TreeMap<Long, List<CompletableFuture<Void>>> futuresByOffset = new TreeMap<>();

    private final LogClient logClient;
    private final String stream;
    private final Supplier<F> foldFactory;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private final StreamListener<F> listener;
    private long windowRecords;
    private F fold;
    private volatile boolean closed;

    /**
     * Creates a follower; {@link #start} begins the reads.
     *
     * @param logClient reads the log, not null
     * @param stream the stream, not null
     * @param foldFactory creates an empty fold, not null
     * @param windowRecords the number of records before the end at which the replay starts, at
     *     least 1
     * @param executor the single thread that folds, not null
     * @param metrics counts retries and failures, not null
     * @param listener is notified of the progress, not null
     */
    public StreamFollower(
            LogClient logClient,
            String stream,
            Supplier<F> foldFactory,
            long windowRecords,
            ScheduledExecutorService executor,
            Metrics metrics,
            StreamListener<F> listener) {
        this.logClient = Objects.requireNonNull(logClient, "client");
        this.stream = Objects.requireNonNull(stream, "stream");
        this.foldFactory = Objects.requireNonNull(foldFactory, "factory");
        this.windowRecords = windowRecords;
        this.executor = Objects.requireNonNull(executor, "executor");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.fold = foldFactory.get();
    }

    /** Starts reading. */
    public void start() {
        executor.execute(this::locateStart);
    }

    /**
     * Returns a future that completes when the fold reaches the end of the stream for the first
     * time.
     *
     * @return the future, never null
     */
    public CompletableFuture<Void> whenCaughtUp() {
        return caughtUp.copy();
    }

    /**
     * Returns a future that completes when a record is folded, or skipped because it has expired or
     * precedes the replay window.
     *
     * @param offset the offset of the record
     * @return the future, never null
     */
    public CompletableFuture<Void> whenFolded(long offset) {
        CompletableFuture<Void> folded = new CompletableFuture<>();
        executor.execute(
                () -> {
                    if (fold.nextOffset() > offset) {
                        folded.complete(null);
                    } else {
                        futuresByOffset.computeIfAbsent(offset, o -> new ArrayList<>()).add(folded);
                    }
                });
        return folded;
    }

    /**
     * Applies a function to the fold on the follower's thread.
     *
     * @param <T> the type of the result
     * @param function the function, which must not change the fold, not null
     * @return a future of the result
     */
    public <T> CompletableFuture<T> query(Function<F, T> function) {
        return CompletableFuture.supplyAsync(() -> function.apply(fold), executor);
    }

    /** Stops reading after the read in progress. */
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
        // Without a wait, the response shows at once that the end of the stream is reached.
        long waitMillis = caughtUp.isDone() ? POLL_WAIT_MILLIS : 0L;
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
            // A fold that is incomplete at the end restarts, if possible, without a notification.
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
        // After a restart the fold is no longer at the end.
        if (atEnd && fold.nextOffset() == page.next()) {
            caughtUp.complete(null);
        }
        completeFolded();
        readNext();
    }

    /** Folds the records of a page, and skips records that have expired before they were read. */
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

    /**
     * Restarts the replay with a larger window, unless the window covered all records that the log
     * holds or the fold has been at the end before.
     *
     * @return whether the replay restarts
     */
    private boolean restartFurtherBack(LogPage page) {
        if (caughtUp.isDone() || windowRecords >= page.next() - page.first()) {
            return false;
        }
        // The comparison prevents an overflow.
        windowRecords =
                windowRecords > ALL_RECORDS / WINDOW_GROWTH_FACTOR
                        ? ALL_RECORDS
                        : windowRecords * WINDOW_GROWTH_FACTOR;
        long recordsBack = Math.min(windowRecords, page.next() - page.first());
        fold = foldFactory.get();
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
        var foldedOffsets = futuresByOffset.headMap(fold.nextOffset(), false);
        List<CompletableFuture<Void>> futures = new ArrayList<>();
        foldedOffsets.values().forEach(futures::addAll);
        foldedOffsets.clear();
        futures.forEach(future -> future.complete(null));
    }
}
