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
 * Follows one partition of the intake log on behalf of the dispatcher: delivers the newest record
 * of each key, then each record that is appended.
 *
 * <p>Records may be delivered more than once, but never out of order, with one exception: if the
 * log service has compacted records that were not read yet, the newest record of each key is
 * delivered again. Confined to the event loop of its owner.
 */
final class IntakeFollower {
    /**
     * Time for which a read waits for records; short enough to detect a silent connection within
     * seconds.
     */
    private static final Duration READ_WAIT = Duration.ofMillis(1_000);

    /** Pause between two reads, in case the log service responds at once instead of waiting. */
    private static final long READ_PAUSE_MILLIS = 10;

    /** Upper bound of the pause after the first failed read; doubles with each further failure. */
    private static final long FIRST_RETRY_MILLIS = 40;

    /** Maximum pause after a failed read. */
    private static final long MAX_RETRY_MILLIS = 400;

    /** As an offset: nothing has been read yet. */
    private static final long NOT_READ = -1;

    private final KeyedLog log;
    private final LogPartition partition;
    private final ScheduledExecutorService loop;
    private final Metrics metrics;
    private final Consumer<LatestRecords> snapshotConsumer;
    private final Consumer<List<KeyedRecord>> recordConsumer;
    private final Backoff backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, new Random());

    /** The catch-up in progress; null if there is none. */
    private CompletableFuture<Void> currentCatchUp;

    /** The catch-up that starts after the current one; null if none was requested. */
    private CompletableFuture<Void> nextCatchUp;

    /** The offset of the next record to deliver; {@link #NOT_READ} at first. */
    private long offset = NOT_READ;

    private boolean failing;
    private boolean closed;

    /**
     * Creates a follower that is not started.
     *
     * @param log the log service
     * @param partition the partition to follow
     * @param loop the event loop of the owner
     * @param metrics counts the reloads after a compaction
     * @param snapshotConsumer receives the newest record of each key, at first and after a
     *     compaction
     * @param recordConsumer receives records in order
     */
    IntakeFollower(
            KeyedLog log,
            LogPartition partition,
            ScheduledExecutorService loop,
            Metrics metrics,
            Consumer<LatestRecords> snapshotConsumer,
            Consumer<List<KeyedRecord>> recordConsumer) {
        this.log = log;
        this.partition = partition;
        this.loop = loop;
        this.metrics = metrics;
        this.snapshotConsumer = snapshotConsumer;
        this.recordConsumer = recordConsumer;
    }

    /** Starts reading. */
    void start() {
        readNext();
    }

    /** Stops delivering records. */
    void close() {
        closed = true;
    }

    /** Tests whether the last read has succeeded, so that all records up to then are delivered. */
    boolean caughtUp() {
        return offset != NOT_READ && !failing;
    }

    /**
     * Delivers all records that are stored now; concurrent calls share the reads.
     *
     * @return a future that completes once the records are delivered or this follower is closed,
     *     and fails like the future that {@link KeyedLog#read} returns
     */
    CompletableFuture<Void> catchUp() {
        if (currentCatchUp == null) {
            currentCatchUp = readToEnd();
            currentCatchUp.whenCompleteAsync((v, error) -> onCatchUpEnd(), loop);
            return currentCatchUp;
        }
        // The log service may have responded to the read in progress before this call, so another
        // read is needed.
        if (nextCatchUp == null) {
            nextCatchUp = new CompletableFuture<>();
        }
        return nextCatchUp;
    }

    private void onCatchUpEnd() {
        currentCatchUp = null;
        CompletableFuture<Void> next = nextCatchUp;
        nextCatchUp = null;
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

    /** Reads until all records up to the end of the log are delivered. */
    private CompletableFuture<Void> readToEnd() {
        return read(Duration.ZERO)
                .thenComposeAsync(
                        end ->
                                closed || end <= offset
                                        ? CompletableFuture.completedFuture(null)
                                        : readToEnd(),
                        loop);
    }

    private void readNext() {
        if (closed) {
            return;
        }
        // While reads fail, none waits for records: the response shows that the partition recovers.
        read(failing ? Duration.ZERO : READ_WAIT)
                .whenCompleteAsync(
                        (end, error) -> {
                            if (error == null) {
                                markRecovered();
                            } else {
                                markFailing(Failures.causeOf(error));
                            }
                            long pause = error == null ? READ_PAUSE_MILLIS : backoff.nextMillis();
                            loop.schedule(this::readNext, pause, TimeUnit.MILLISECONDS);
                        },
                        loop);
    }

    /**
     * Reads once and delivers the records.
     *
     * @return a future of the offset at which the log ended
     */
    private CompletableFuture<Long> read(Duration wait) {
        long from = offset;
        if (from == NOT_READ) {
            return load();
        }
        return log.read(partition, from, wait)
                .thenComposeAsync(
                        slice -> {
                            if (slice.expired()) {
                                return reload(from);
                            }
                            deliver(from, slice.records());
                            return CompletableFuture.completedFuture(slice.endOffset());
                        },
                        loop);
    }

    private CompletableFuture<Long> reload(long from) {
        event("intake-history-lost").field("offset", from).warn();
        metrics.count("intake.reloads");
        return load();
    }

    /**
     * Delivers the newest record of each key, unless a concurrent read has advanced further.
     *
     * @return a future of the offset of the next record to read
     */
    private CompletableFuture<Long> load() {
        return LatestRecords.read(log, partition)
                .thenApplyAsync(
                        snapshot -> {
                            if (!closed && snapshot.resumeOffset() >= offset) {
                                offset = snapshot.resumeOffset();
                                snapshotConsumer.accept(snapshot);
                            }
                            return offset;
                        },
                        loop);
    }

    /**
     * Delivers records, except those that a concurrent read has delivered before. Delivers none
     * after this follower was closed.
     *
     * @param from the offset of the first record
     */
    private void deliver(long from, List<KeyedRecord> records) {
        int alreadyDelivered = (int) Math.min(records.size(), offset - from);
        if (!closed && alreadyDelivered < records.size()) {
            offset = from + records.size();
            recordConsumer.accept(records.subList(alreadyDelivered, records.size()));
        }
    }

    private void markFailing(Throwable error) {
        if (!failing) {
            failing = true;
            event("intake-lost").field("offset", offset).error(error).warn();
        }
    }

    private void markRecovered() {
        backoff.reset();
        if (failing) {
            failing = false;
            event("intake-regained").field("offset", offset).info();
        }
    }

    private EventLog event(String name) {
        return EventLog.event(name).field("log", partition);
    }
}
