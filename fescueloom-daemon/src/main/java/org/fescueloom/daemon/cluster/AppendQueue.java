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
 * Appends the records of one stream in groups, one group at a time.
 *
 * <p>While a group is on its way, further records wait and form the next one. A group whose answer
 * was lost is looked for in the stream and, if it is not there, sent again under the same record
 * identifiers, which readers take only once. State changes on the executor's thread only.
 */
final class AppendQueue {
    private static final int MAX_PENDING_APPENDS = 4_096;
    private static final int MAX_GROUP_RECORDS = 256;
    private static final int PAGE_RECORDS = 512;
    private static final long UNKNOWN_OFFSET = -1L;
    private static final long FIRST_RETRY_DELAY_MILLIS = 50L;
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000L;
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(2);

    private final Deque<PendingAppend> pendingAppends = new ArrayDeque<>();
    private final LogClient client;
    private final String stream;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private List<PendingAppend> group = List.of();
    private Backoff backoff;
    private long searchFromOffset = UNKNOWN_OFFSET;
    private boolean mayBeStored;

    private static final class PendingAppend {
        private final NewRecord record;
        private final CompletableFuture<Long> offset = new CompletableFuture<>();

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

    CompletableFuture<Long> add(NewRecord record) {
        PendingAppend append = new PendingAppend(record);
        executor.execute(() -> enqueue(append));
        executor.schedule(
                () -> failIfNotDone(append),
                LogClient.APPEND_DEADLINE.toMillis(),
                TimeUnit.MILLISECONDS);
        return append.offset;
    }

    private void enqueue(PendingAppend append) {
        if (pendingAppends.size() >= MAX_PENDING_APPENDS) {
            metrics.count("log.append-queue-full");
            append.offset.completeExceptionally(
                    new SchedulerException(
                            FailureType.LOG_UNAVAILABLE, "too many appends wait for the log"));
            return;
        }
        pendingAppends.add(append);
        if (group.isEmpty()) {
            startGroup();
        }
    }

    private void failIfNotDone(PendingAppend append) {
        if (append.offset.isDone()) {
            return;
        }
        boolean outcomeUnknown = mayBeStored && group.contains(append);
        pendingAppends.remove(append);
        append.offset.completeExceptionally(
                outcomeUnknown
                        ? new SchedulerException(
                                FailureType.LOG_UNDECIDED, "the log may have taken the record")
                        : new SchedulerException(
                                FailureType.LOG_UNAVAILABLE, "the log did not take the record"));
    }

    private void startGroup() {
        List<PendingAppend> next = new ArrayList<>();
        while (!pendingAppends.isEmpty() && next.size() < MAX_GROUP_RECORDS) {
            next.add(pendingAppends.poll());
        }
        group = next;
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

    /** Sends the group; the stream's end is learned first, as the place to look from later. */
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
        client.appendOnce(stream, records, ATTEMPT_TIMEOUT)
                .whenCompleteAsync(this::onAppendResult, executor);
    }

    private void onAppendResult(Long firstOffset, Throwable error) {
        if (error == null) {
            Map<String, Long> offsetsById = new HashMap<>();
            for (int i = 0; i < group.size(); i++) {
                offsetsById.put(group.get(i).record.id(), firstOffset + i);
            }
            completeGroup(offsetsById);
            return;
        }
        if (Failures.typeOf(error) == FailureType.LOG_UNAVAILABLE) {
            scheduleRetry(FailureType.LOG_UNAVAILABLE, this::locateEndThenSend);
        } else {
            metrics.count("log.append-answers-lost");
            searchStream(searchFromOffset, new HashMap<>());
        }
    }

    /** Looks for the group in the stream, from where it ended before the group was sent. */
    private void searchStream(long from, Map<String, Long> offsetsById) {
        if (isGroupDone()) {
            startGroup();
            return;
        }
        client.read(stream, from, PAGE_RECORDS, 0L)
                .whenCompleteAsync(
                        (page, error) -> onSearchPageRead(from, offsetsById, page, error),
                        executor);
    }

    private void onSearchPageRead(
            long from, Map<String, Long> offsetsById, LogPage page, Throwable error) {
        if (error != null) {
            scheduleRetry(FailureType.LOG_UNDECIDED, () -> searchStream(from, offsetsById));
            return;
        }
        for (LogRecord r : page.records()) {
            offsetsById.putIfAbsent(r.id(), r.offset());
        }
        long next = Math.max(page.first(), from + page.records().size());
        if (group.stream().allMatch(a -> offsetsById.containsKey(a.record.id()))) {
            metrics.count("log.appends-settled-by-reading");
            completeGroup(offsetsById);
        } else if (next < page.next()) {
            searchStream(next, offsetsById);
        } else {
            scheduleRetry(FailureType.LOG_UNDECIDED, this::locateEndThenSend);
        }
    }

    private void completeGroup(Map<String, Long> offsetsById) {
        for (PendingAppend a : group) {
            long offset = offsetsById.get(a.record.id());
            searchFromOffset = Math.max(searchFromOffset, offset + 1);
            a.offset.complete(offset);
        }
        startGroup();
    }

    private void scheduleRetry(FailureType reason, Runnable action) {
        metrics.countRetry(reason);
        executor.schedule(action, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private boolean isGroupDone() {
        return group.stream().allMatch(a -> a.offset.isDone());
    }
}
