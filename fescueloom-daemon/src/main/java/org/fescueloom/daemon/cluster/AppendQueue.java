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
    private static final int MAX_PENDING = 4_096;
    private static final int MAX_GROUP = 256;
    private static final int PAGE = 512;
    private static final long UNKNOWN_OFFSET = -1L;
    private static final long FIRST_DELAY_MILLIS = 50L;
    private static final long LIMIT_DELAY_MILLIS = 1_000L;
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(2);

    private final Deque<Append> pending = new ArrayDeque<>();
    private final LogClient client;
    private final String stream;
    private final ScheduledExecutorService executor;
    private final Metrics metrics;
    private List<Append> group = List.of();
    private Backoff backoff;
    private long floor = UNKNOWN_OFFSET;
    private boolean mayHaveEffect;

    private static final class Append {
        private final NewRecord record;
        private final CompletableFuture<Long> offset = new CompletableFuture<>();

        Append(NewRecord record) {
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
        Append append = new Append(record);
        executor.execute(() -> accept(append));
        executor.schedule(
                () -> giveUp(append), LogClient.APPEND_DEADLINE.toMillis(), TimeUnit.MILLISECONDS);
        return append.offset;
    }

    private void accept(Append append) {
        if (pending.size() >= MAX_PENDING) {
            metrics.count("log.append-queue-full");
            append.offset.completeExceptionally(
                    new SchedulerException(
                            FailureType.LOG_UNAVAILABLE, "too many appends wait for the log"));
            return;
        }
        pending.add(append);
        if (group.isEmpty()) {
            startGroup();
        }
    }

    private void giveUp(Append append) {
        if (append.offset.isDone()) {
            return;
        }
        boolean unknown = mayHaveEffect && group.contains(append);
        pending.remove(append);
        append.offset.completeExceptionally(
                unknown
                        ? new SchedulerException(
                                FailureType.LOG_UNDECIDED, "the log may have taken the record")
                        : new SchedulerException(
                                FailureType.LOG_UNAVAILABLE, "the log did not take the record"));
    }

    private void startGroup() {
        List<Append> next = new ArrayList<>();
        while (!pending.isEmpty() && next.size() < MAX_GROUP) {
            next.add(pending.poll());
        }
        group = next;
        mayHaveEffect = false;
        backoff = new Backoff(FIRST_DELAY_MILLIS, LIMIT_DELAY_MILLIS, ThreadLocalRandom.current());
        if (!group.isEmpty()) {
            attempt();
        }
    }

    /** Sends the group; the stream's end is learned first, as the place to look from later. */
    private void attempt() {
        if (givenUp()) {
            startGroup();
        } else if (floor == UNKNOWN_OFFSET) {
            client.describe(stream).whenCompleteAsync(this::described, executor);
        } else {
            send();
        }
    }

    private void described(LogPage page, Throwable error) {
        if (error != null) {
            retry(FailureType.LOG_UNAVAILABLE, this::attempt);
            return;
        }
        floor = page.next();
        attempt();
    }

    private void send() {
        metrics.count("log.append-calls");
        List<NewRecord> records = group.stream().map(a -> a.record).toList();
        mayHaveEffect = true;
        client.appendOnce(stream, records, ATTEMPT_TIMEOUT)
                .whenCompleteAsync(this::answered, executor);
    }

    private void answered(Long offset, Throwable error) {
        if (error == null) {
            Map<String, Long> offsets = new HashMap<>();
            for (int i = 0; i < group.size(); i++) {
                offsets.put(group.get(i).record.id(), offset + i);
            }
            complete(offsets);
            return;
        }
        if (Failures.typeOf(error) == FailureType.LOG_UNAVAILABLE) {
            retry(FailureType.LOG_UNAVAILABLE, this::attempt);
        } else {
            metrics.count("log.append-answers-lost");
            settle(floor, new HashMap<>());
        }
    }

    /** Looks for the group in the stream, from where it ended before the group was sent. */
    private void settle(long from, Map<String, Long> found) {
        if (givenUp()) {
            startGroup();
            return;
        }
        client.read(stream, from, PAGE, 0L)
                .whenCompleteAsync((page, error) -> settled(from, found, page, error), executor);
    }

    private void settled(long from, Map<String, Long> found, LogPage page, Throwable error) {
        if (error != null) {
            retry(FailureType.LOG_UNDECIDED, () -> settle(from, found));
            return;
        }
        for (LogRecord r : page.records()) {
            found.putIfAbsent(r.id(), r.offset());
        }
        long next = Math.max(page.first(), from + page.records().size());
        if (group.stream().allMatch(a -> found.containsKey(a.record.id()))) {
            metrics.count("log.appends-settled-by-reading");
            complete(found);
        } else if (next < page.next()) {
            settle(next, found);
        } else {
            retry(FailureType.LOG_UNDECIDED, this::attempt);
        }
    }

    private void complete(Map<String, Long> offsets) {
        for (Append a : group) {
            long offset = offsets.get(a.record.id());
            floor = Math.max(floor, offset + 1);
            a.offset.complete(offset);
        }
        startGroup();
    }

    private void retry(FailureType reason, Runnable action) {
        metrics.countRetry(reason);
        executor.schedule(action, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private boolean givenUp() {
        return group.stream().allMatch(a -> a.offset.isDone());
    }
}
