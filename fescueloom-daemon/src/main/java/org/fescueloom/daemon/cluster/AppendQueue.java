package org.fescueloom.daemon.cluster;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.log.Backoff;
import org.fescueloom.log.LogPage;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.NewRecord;

/**
 * Appends records to one stream in groups (group commit), with one group in flight at a time.
 *
 * <p>While a group is in flight, further records wait for the next group. If the response to a
 * group is lost, the queue searches the stream for the records of the group. If any of them is
 * missing, the queue sends the whole group again under the same record identifiers; readers must
 * ignore a record that occurs a second time. The state changes only on the executor's thread.
 */
final class AppendQueue {
    /** The maximum number of appends that wait for a later group; further appends fail. */
    private static final int MAX_PENDING_APPENDS = 4_096;

    /** The maximum number of records in one append call. */
    private static final int MAX_GROUP_RECORDS = 256;

    /** The maximum number of records in one read while the stream is searched. */
    private static final int PAGE_RECORDS = 512;

    /** Stands for an offset that has not been read yet. */
    private static final long UNKNOWN_OFFSET = -1L;

    /** The upper bound of the first retry delay; the bound doubles with each further retry. */
    private static final long FIRST_RETRY_DELAY_MILLIS = 50L;

    /** The upper bound of every retry delay. */
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000L;

    /** The timeout of one append call. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    private final Deque<PendingAppend> pendingAppends = new ArrayDeque<>();
    private final LogClient client;
    private final String stream;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private List<PendingAppend> group = List.of();
    private Backoff backoff;

    /**
     * The offset at which a search for the current group starts; no record of the group is below.
     */
    private long searchFromOffset = UNKNOWN_OFFSET;

    /**
     * Whether the current group was sent at least once, so that the log service may have stored it.
     * Remains true after a call that has certainly failed, because an earlier call may have
     * succeeded.
     */
    private boolean mayBeStored;

    private static final class PendingAppend {
        private final NewRecord record;
        private final CompletableFuture<Long> offsetFuture = new CompletableFuture<>();

        PendingAppend(NewRecord record) {
            this.record = record;
        }
    }

    AppendQueue(
            LogClient client, String stream, ScheduledExecutorService executor, Metrics metrics) {
        this.client = client;
        this.stream = stream;
        this.executor = executor;
        this.metrics = metrics;
    }

    /**
     * Adds a record to the queue.
     *
     * @param record the record, not null
     * @return a future of the offset of the record; fails as described in {@link LogClient}
     */
    CompletableFuture<Long> add(NewRecord record) {
        PendingAppend append = new PendingAppend(record);
        executor.execute(() -> enqueue(append));
        executor.schedule(
                () -> failIfNotDone(append),
                LogClient.APPEND_DEADLINE.toMillis(),
                TimeUnit.MILLISECONDS);
        return append.offsetFuture;
    }

    private void enqueue(PendingAppend append) {
        if (pendingAppends.size() >= MAX_PENDING_APPENDS) {
            metrics.count("log.append-queue-full");
            append.offsetFuture.completeExceptionally(
                    new SchedulerException(
                            FailureType.LOG_UNAVAILABLE,
                            "the append queue of the stream "
                                    + stream
                                    + " is full: the limit is "
                                    + MAX_PENDING_APPENDS
                                    + " waiting appends"));
            return;
        }
        pendingAppends.add(append);
        if (group.isEmpty()) {
            startGroup();
        }
    }

    private void failIfNotDone(PendingAppend append) {
        if (append.offsetFuture.isDone()) {
            return;
        }
        boolean outcomeUnknown = mayBeStored && group.contains(append);
        pendingAppends.remove(append);
        append.offsetFuture.completeExceptionally(
                outcomeUnknown
                        ? new SchedulerException(
                                FailureType.LOG_UNDECIDED,
                                "the log service did not confirm an append to the stream "
                                        + stream
                                        + " within "
                                        + LogClient.APPEND_DEADLINE.toSeconds()
                                        + " s and may have stored the record")
                        : new SchedulerException(
                                FailureType.LOG_UNAVAILABLE,
                                "the log service did not store a record of the stream "
                                        + stream
                                        + " within "
                                        + LogClient.APPEND_DEADLINE.toSeconds()
                                        + " s"));
    }

    /** Forms a group from the waiting appends and sends it; does nothing if no append waits. */
    private void startGroup() {
        List<PendingAppend> nextGroup = new ArrayList<>();
        while (!pendingAppends.isEmpty() && nextGroup.size() < MAX_GROUP_RECORDS) {
            nextGroup.add(pendingAppends.poll());
        }
        group = nextGroup;
        mayBeStored = false;
        backoff =
                new Backoff(
                        FIRST_RETRY_DELAY_MILLIS,
                        MAX_RETRY_DELAY_MILLIS,
                        ThreadLocalRandom.current());
        if (!group.isEmpty()) {
            locateEndThenSend();
        }
    }

    /**
     * Sends the group, or starts the next one if all appends of the group have completed.
     *
     * <p>If no end of the stream is known yet, the end is read before the group is sent, because a
     * search for the group starts at the end that the stream had before.
     */
    private void locateEndThenSend() {
        if (isGroupDone()) {
            startGroup();
        } else if (searchFromOffset == UNKNOWN_OFFSET) {
            client.readBounds(stream).whenCompleteAsync(this::onBoundsRead, executor);
        } else {
            send();
        }
    }

    private void onBoundsRead(LogPage page, Throwable error) {
        if (error != null) {
            scheduleRetry(FailureType.LOG_UNAVAILABLE, this::locateEndThenSend);
            return;
        }
        searchFromOffset = page.next();
        locateEndThenSend();
    }

    private void send() {
        metrics.count("log.append-calls");
        List<NewRecord> records = group.stream().map(a -> a.record).toList();
        mayBeStored = true;
        client.appendOnce(stream, records, CALL_TIMEOUT)
                .whenCompleteAsync(this::onAppendResult, executor);
    }

    private void onAppendResult(Long firstOffset, Throwable error) {
        if (error == null) {
            // The log service stores the records of one call at consecutive offsets.
            Map<String, Long> offsetsById = new HashMap<>();
            for (int i = 0; i < group.size(); i++) {
                offsetsById.put(group.get(i).record.id(), firstOffset + i);
            }
            completeGroup(offsetsById);
            return;
        }
        if (Failures.typeOf(error) == FailureType.LOG_UNAVAILABLE) {
            // The log service has not stored the group.
            scheduleRetry(FailureType.LOG_UNAVAILABLE, this::locateEndThenSend);
        } else {
            metrics.count("log.append-answers-lost");
            searchStream(searchFromOffset, new HashMap<>());
        }
    }

    /**
     * Searches the stream for the records of the group.
     *
     * @param fromOffset the offset at which the search goes on
     * @param offsetsById the offsets of the records read so far, by record identifier
     */
    private void searchStream(long fromOffset, Map<String, Long> offsetsById) {
        if (isGroupDone()) {
            startGroup();
            return;
        }
        client.read(stream, fromOffset, PAGE_RECORDS, 0L)
                .whenCompleteAsync(
                        (page, error) -> onSearchPageRead(fromOffset, offsetsById, page, error),
                        executor);
    }

    private void onSearchPageRead(
            long fromOffset, Map<String, Long> offsetsById, LogPage page, Throwable error) {
        if (error != null) {
            scheduleRetry(FailureType.LOG_UNDECIDED, () -> searchStream(fromOffset, offsetsById));
            return;
        }
        for (LogRecord r : page.records()) {
            offsetsById.putIfAbsent(r.id(), r.offset());
        }
        // If the next record has expired, the search goes on with the first one that has not.
        long nextOffset = Math.max(page.first(), fromOffset + page.records().size());
        if (group.stream().allMatch(a -> offsetsById.containsKey(a.record.id()))) {
            metrics.count("log.appends-settled-by-reading");
            completeGroup(offsetsById);
        } else if (nextOffset < page.next()) {
            searchStream(nextOffset, offsetsById);
        } else {
            // The end of the stream is reached, and at least one record of the group is missing.
            scheduleRetry(FailureType.LOG_UNDECIDED, this::locateEndThenSend);
        }
    }

    private void completeGroup(Map<String, Long> offsetsById) {
        for (PendingAppend a : group) {
            long offset = offsetsById.get(a.record.id());
            searchFromOffset = Math.max(searchFromOffset, offset + 1);
            a.offsetFuture.complete(offset);
        }
        startGroup();
    }

    private void scheduleRetry(FailureType reason, Runnable action) {
        metrics.countRetry(reason);
        executor.schedule(action, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns whether all appends of the group have completed; some may have failed. */
    private boolean isGroupDone() {
        return group.stream().allMatch(a -> a.offsetFuture.isDone());
    }
}
