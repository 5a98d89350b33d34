package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.log.Backoff;

/**
 * Stores the records of a dispatcher, many in one call, one call at a time.
 *
 * <p>Each append names the offset at which the log must end. An append whose answer was lost is
 * repeated as it is until the log service tells what became of it, so a late execution does no
 * harm. If the log has moved on by records of others, the dispatcher has been replaced. Confined to
 * the thread of its owner.
 */
final class DurableWriter {
    /**
     * Keeps one append within what the log service takes in a call (2 MiB on known deployments).
     */
    static final int MAX_BATCH_BYTES = 1 << 20;

    /** How long an answer of the log service is awaited; it answers in some 6 ms when healthy. */
    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(900);

    private static final long FIRST_RETRY_MILLIS = 40;
    private static final long MAX_RETRY_MILLIS = 400;

    private final KeyedLog log;
    private final String topic;
    private final ScheduledExecutorService loop;
    private final LogServiceContact contact;
    private final Metrics metrics;
    private final Runnable deposed;
    private final Backoff backoff;
    private final List<Proof> proofs = new ArrayList<>();
    private final Map<String, Supplier<byte[]>> waiting = new LinkedHashMap<>();
    private List<Runnable> waitingActions = new ArrayList<>();
    private Batch batch;
    private long endOffset;
    private long failingSinceMillis = -1;
    private boolean verifying;
    private boolean undecided;
    private boolean pausing;
    private boolean closed;

    /**
     * Holds what one append carries, and what is done once it is stored.
     *
     * @param records what is written
     * @param values where the values came from, to write them again
     * @param actions what is done once all of it is stored
     */
    private record Batch(
            List<KeyedRecord> records,
            Map<String, Supplier<byte[]>> values,
            List<Runnable> actions) {}

    /**
     * Waits for an answer to a call that was sent after a moment.
     *
     * @param after the moment
     * @param proved is completed by such an answer
     */
    private record Proof(LogServiceContact.ClockReading after, CompletableFuture<Void> proved) {}

    /**
     * Creates a writer.
     *
     * @param log the log service
     * @param topic the log to write
     * @param endOffset where the log ends
     * @param loop the thread of the owner
     * @param contact is told of each answer
     * @param metrics counts appends and retries
     * @param deposed runs once when records of others are found
     */
    DurableWriter(
            KeyedLog log,
            String topic,
            long endOffset,
            ScheduledExecutorService loop,
            LogServiceContact contact,
            Metrics metrics,
            Runnable deposed) {
        this.log = log;
        this.topic = topic;
        this.endOffset = endOffset;
        this.loop = loop;
        this.contact = contact;
        this.metrics = metrics;
        this.deposed = deposed;
        this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, new Random());
    }

    /** Marks a key as changed; its value is read when it is written. */
    void put(String key, Supplier<byte[]> value) {
        waiting.put(key, value);
    }

    /** Runs an action once everything that is marked now has been stored. */
    void whenStored(Runnable action) {
        waitingActions.add(action);
    }

    /** Writes what is marked unless a write is under way. */
    void flush() {
        boolean nothing = waiting.isEmpty() && waitingActions.isEmpty();
        if (closed || batch != null || nothing || pausing) {
            return;
        }
        undecided = false;
        batch = nextBatch();
        if (batch.records().isEmpty()) {
            finishBatch();
        } else {
            send();
        }
    }

    /** Asks the log service whether anybody else has written. */
    void checkForOtherWriters() {
        if (closed || batch != null || verifying) {
            return;
        }
        verifying = true;
        LogServiceContact.ClockReading sent = contact.now();
        log.read(topic, endOffset, Duration.ZERO)
                .thenCompose(this::endOf)
                .whenCompleteAsync(
                        (end, error) -> {
                            verifying = false;
                            verified(sent, end, error);
                        },
                        loop);
    }

    /** Returns where the log ends; one that has dropped the records after ours does not say. */
    private CompletableFuture<Long> endOf(KeyedSlice slice) {
        return slice.expired()
                ? log.newest(topic, JobStore.AFTER_ALL_KEYS).thenApply(KeyedPage::endOffset)
                : CompletableFuture.completedFuture(slice.endOffset());
    }

    /**
     * Proves that nobody else has written at some moment after this call.
     *
     * @return a future that fails if records of others are found, or the log service fails
     */
    CompletableFuture<Void> confirmNoOtherWriter() {
        CompletableFuture<Void> proved = new CompletableFuture<>();
        if (closed) {
            proved.completeExceptionally(Dispatcher.notDispatcherException());
            return proved;
        }
        proofs.add(new Proof(contact.now(), proved));
        checkForOtherWriters();
        return proved;
    }

    /** Returns for how long the log service has failed, in milliseconds; 0 if it answers. */
    long logFailingForMillis() {
        return failingSinceMillis < 0 ? 0 : contact.now().monotonicMillis() - failingSinceMillis;
    }

    /** Writes nothing any more. */
    void close() {
        closed = true;
        failProofs(Dispatcher.notDispatcherException());
    }

    /** Completes the proofs that a call which was sent at a moment gives; begins one for others. */
    private void completeProofs(LogServiceContact.ClockReading sent) {
        List<Proof> given =
                proofs.stream()
                        .filter(p -> p.after().monotonicMillis() <= sent.monotonicMillis())
                        .toList();
        proofs.removeAll(given);
        given.forEach(p -> p.proved().complete(null));
        if (!proofs.isEmpty()) {
            checkForOtherWriters();
        }
    }

    private static SchedulerException logFails(Throwable error) {
        return new SchedulerException(
                FailureType.LOG_UNAVAILABLE, "the log does not answer: " + Failures.causeOf(error));
    }

    private void failProofs(SchedulerException reason) {
        List<Proof> all = List.copyOf(proofs);
        proofs.clear();
        all.forEach(p -> p.proved().completeExceptionally(reason));
    }

    private Batch nextBatch() {
        List<KeyedRecord> records = new ArrayList<>();
        Map<String, Supplier<byte[]>> values = new LinkedHashMap<>();
        int bytes = 0;
        var entries = waiting.entrySet().iterator();
        while (entries.hasNext() && bytes < MAX_BATCH_BYTES) {
            Map.Entry<String, Supplier<byte[]>> entry = entries.next();
            KeyedRecord written = new KeyedRecord(entry.getKey(), entry.getValue().get());
            bytes += written.value().length + entry.getKey().length();
            records.add(written);
            values.put(entry.getKey(), entry.getValue());
            entries.remove();
        }
        // Actions wait for every key that was marked before them.
        List<Runnable> actions = waiting.isEmpty() ? waitingActions : List.of();
        if (waiting.isEmpty()) {
            waitingActions = new ArrayList<>();
        }
        return new Batch(records, values, actions);
    }

    private void send() {
        if (closed) {
            return;
        }
        LogServiceContact.ClockReading sent = contact.now();
        log.append(topic, batch.records(), endOffset, APPEND_TIMEOUT)
                .whenCompleteAsync((outcome, error) -> answered(sent, outcome, error), loop);
    }

    private void answered(
            LogServiceContact.ClockReading sent, AppendOutcome outcome, Throwable error) {
        if (closed) {
            return;
        }
        if (error != null) {
            retry(sent, error);
        } else if (outcome.appended()) {
            stored(outcome.endOffset(), sent);
        } else {
            settle();
        }
    }

    private void retry(LogServiceContact.ClockReading sent, Throwable error) {
        FailureType type = Failures.typeOf(error);
        metrics.countRetry(type);
        noteLost(sent, error);
        failProofs(logFails(error));
        undecided |= type != FailureType.LOG_UNAVAILABLE;
        if (undecided) {
            loop.schedule(this::send, backoff.nextMillis(), TimeUnit.MILLISECONDS);
        } else {
            takeBack();
        }
    }

    private void noteLost(LogServiceContact.ClockReading sent, Throwable error) {
        if (failingSinceMillis < 0) {
            failingSinceMillis = sent.monotonicMillis();
            EventLog.event("store-lost").field("end", endOffset).error(error).warn();
        }
    }

    /** Marks everything as waiting again, after the log service has surely stored none of it. */
    private void takeBack() {
        Map<String, Supplier<byte[]>> all = new LinkedHashMap<>(batch.values());
        all.putAll(waiting);
        waiting.clear();
        waiting.putAll(all);
        List<Runnable> actions = new ArrayList<>(batch.actions());
        actions.addAll(waitingActions);
        waitingActions = actions;
        batch = null;
        pausing = true;
        loop.schedule(this::endPause, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private void endPause() {
        pausing = false;
        flush();
    }

    /** Finds out whether the records at the expected end are those of a lost answer. */
    private void settle() {
        LogServiceContact.ClockReading sent = contact.now();
        log.read(topic, endOffset, Duration.ZERO)
                .whenCompleteAsync(
                        (slice, error) -> {
                            if (closed) {
                                return;
                            }
                            if (error != null) {
                                loop.schedule(
                                        this::settle, backoff.nextMillis(), TimeUnit.MILLISECONDS);
                            } else if (isBatch(slice)) {
                                stored(endOffset + batch.records().size(), sent);
                            } else {
                                replaced(slice.endOffset());
                            }
                        },
                        loop);
    }

    /** Tells whether the batch was stored, and nothing of anybody else behind it. */
    private boolean isBatch(KeyedSlice slice) {
        List<KeyedRecord> found = slice.records();
        List<KeyedRecord> expected = batch.records();
        if (found.size() != expected.size() || slice.endOffset() != endOffset + expected.size()) {
            return false;
        }
        for (int i = 0; i < expected.size(); i++) {
            if (!found.get(i).key().equals(expected.get(i).key())
                    || !Arrays.equals(found.get(i).value(), expected.get(i).value())) {
                return false;
            }
        }
        return true;
    }

    private void stored(long newEnd, LogServiceContact.ClockReading sent) {
        contact.confirm(sent);
        metrics.timer("store.append")
                .update(
                        contact.now().monotonicMillis() - sent.monotonicMillis(),
                        TimeUnit.MILLISECONDS);
        regained();
        backoff.reset();
        endOffset = newEnd;
        finishBatch();
        completeProofs(sent);
    }

    private void regained() {
        if (failingSinceMillis >= 0) {
            EventLog.event("store-regained").field("millis", logFailingForMillis()).info();
            failingSinceMillis = -1;
        }
    }

    private void finishBatch() {
        List<Runnable> actions = batch.actions();
        batch = null;
        actions.forEach(Runnable::run);
        flush();
    }

    private void verified(LogServiceContact.ClockReading sent, Long end, Throwable error) {
        if (closed || batch != null) {
            return;
        }
        if (error != null) {
            if (contact.confirmedBefore(sent)) {
                noteLost(sent, error);
            }
            failProofs(logFails(error));
        } else if (end > endOffset) {
            replaced(end);
        } else {
            regained();
            contact.confirm(sent);
            backoff.reset();
            endPause();
            completeProofs(sent);
        }
    }

    private void replaced(long foundEnd) {
        EventLog.event("dispatcher-replaced")
                .field("end", endOffset)
                .field("found", foundEnd)
                .warn();
        close();
        deposed.run();
    }
}
