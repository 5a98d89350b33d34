package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;

/**
 * Appends records to the log that all entries write, many in one call while calls are under way.
 *
 * <p>Confined to the thread of its owner.
 */
final class IntakeAppender {
    /** Leaves calls of the log client for what else the entry asks the log service. */
    private static final int MAX_CALLS = 8;

    /** Keeps a call within the 2 MiB that the log service takes, with records of 256 KiB each. */
    private static final int MAX_BATCH_BYTES = 1 << 20;

    /** The log service answers within 2 s, if only that it has too much to do. */
    private static final Duration TIMEOUT = Duration.ofMillis(2_200);

    private final KeyedLog log;
    private final Executor loop;
    private final LogServiceContact clocks;
    private final Metrics metrics;
    private final List<Waiting> waiting = new ArrayList<>();
    private int calls;
    private boolean lastCallFailed;
    private CompletableFuture<KeyedPage> probe;
    private long probedMillis;

    /** Holds a record that was not sent yet, and who waits for it. */
    private record Waiting(KeyedRecord item, CompletableFuture<Void> stored) {}

    IntakeAppender(KeyedLog log, Executor loop, LogServiceContact clocks, Metrics metrics) {
        this.log = log;
        this.loop = loop;
        this.clocks = clocks;
        this.metrics = metrics;
    }

    /**
     * Appends a record; the future fails as {@link KeyedLog#append} does.
     *
     * @param item the record, of 256 KiB at most
     */
    CompletableFuture<Void> append(KeyedRecord item) {
        CompletableFuture<Void> stored = new CompletableFuture<>();
        waiting.add(new Waiting(item, stored));
        send();
        return stored;
    }

    /** Takes back a record that was not sent yet; tells whether it was still waiting. */
    boolean withdraw(CompletableFuture<Void> stored) {
        return waiting.removeIf(w -> w.stored() == stored);
    }

    /** Tells whether the last call has failed. */
    boolean lastCallFailed() {
        return lastCallFailed;
    }

    /**
     * Asks whether the log service answers; calls at about the same time share one question.
     *
     * @param maxAgeMillis a question that was put longer ago is not shared, in milliseconds
     */
    CompletableFuture<KeyedPage> probe(long maxAgeMillis) {
        long now = clocks.now().monotonicMillis();
        if (probe == null || probe.isDone() || now - probedMillis > maxAgeMillis) {
            probedMillis = now;
            probe = log.newest(IntakeRequest.TOPIC, JobStore.AFTER_ALL_KEYS);
        }
        return probe;
    }

    private void send() {
        if (calls == MAX_CALLS || waiting.isEmpty()) {
            return;
        }
        List<Waiting> batch = nextBatch();
        calls++;
        log.append(
                        IntakeRequest.TOPIC,
                        batch.stream().map(Waiting::item).toList(),
                        KeyedLog.ANY_END,
                        TIMEOUT)
                .whenCompleteAsync((outcome, error) -> answered(batch, error), loop);
    }

    private List<Waiting> nextBatch() {
        int bytes = 0;
        int count = 0;
        while (count < waiting.size() && bytes < MAX_BATCH_BYTES) {
            bytes += waiting.get(count).item().value().length;
            count++;
        }
        List<Waiting> first = waiting.subList(0, count);
        List<Waiting> batch = List.copyOf(first);
        first.clear();
        return batch;
    }

    private void noteContact(Throwable error) {
        if (lastCallFailed != (error != null)) {
            lastCallFailed = error != null;
            EventLog event = EventLog.event(lastCallFailed ? "store-lost" : "store-regained");
            event.field("log", IntakeRequest.TOPIC);
            if (lastCallFailed) {
                event.error(Failures.causeOf(error)).warn();
            } else {
                event.info();
            }
        }
    }

    private void answered(List<Waiting> batch, Throwable error) {
        calls--;
        noteContact(error);
        if (error == null) {
            metrics.count("intake.appends");
            batch.forEach(w -> w.stored().complete(null));
        } else {
            metrics.countRetry(Failures.typeOf(error));
            batch.forEach(w -> w.stored().completeExceptionally(error));
        }
        send();
    }
}
