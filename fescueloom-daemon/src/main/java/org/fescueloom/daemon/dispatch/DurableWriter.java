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
 * Appends the records of a dispatcher to a keyed log: many records in one call, one call at a time.
 *
 * <p>Each append names the offset at which the log must end. An append whose outcome is unknown is
 * repeated unchanged until the log service reports its outcome; the expected offset keeps a late
 * execution from storing the records twice. If another process has appended records, the dispatcher
 * has been replaced. Confined to the event loop of its owner.
 */
final class DurableWriter {
    /**
     * Keeps an append within the limit of the log service per call (2 MiB on known deployments).
     */
    static final int MAX_BATCH_BYTES = 1 << 20;

    /** Time to wait for the response to an append; a healthy log service responds in about 6 ms. */
    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(900);

    private static final long FIRST_RETRY_MILLIS = 40;
    private static final long MAX_RETRY_MILLIS = 400;

    private final KeyedLog log;
    private final String topic;
    private final ScheduledExecutorService loop;
    private final LogServiceContact contact;
    private final Metrics metrics;
    private final Runnable onReplaced;
    private final Backoff backoff;
    private final List<PendingProof> pendingProofs = new ArrayList<>();
    private final Map<String, Supplier<byte[]>> pendingValues = new LinkedHashMap<>();
    private List<Runnable> pendingActions = new ArrayList<>();
    private Batch batch;
    private long endOffset;
    private long failingSinceMillis = -1;
    private boolean checking;
    private boolean outcomeUnknown;
    private boolean retryPaused;
    private boolean closed;

    /**
     * Holds the records of one append, and the actions to run once they are stored.
     *
     * @param records the records
     * @param values the suppliers of the values, by key, to encode the records again
     * @param actions run once all records are stored
     */
    private record Batch(
            List<KeyedRecord> records,
            Map<String, Supplier<byte[]>> values,
            List<Runnable> actions) {}

    /**
     * Holds a pending request for proof of the claim. A response that shows no records of other
     * writers is proof if its call was sent no earlier than the proof was requested.
     *
     * @param requestedAt when the proof was requested
     * @param result completed by the proof
     */
    private record PendingProof(
            LogServiceContact.ClockReading requestedAt, CompletableFuture<Void> result) {}

    /**
     * Creates a writer.
     *
     * @param log the log service
     * @param topic the log to write
     * @param endOffset the offset at which the log ends
     * @param loop the event loop of the owner
     * @param contact records when the log service has responded
     * @param metrics counts retries and measures appends
     * @param onReplaced runs once, when records of other writers are found
     */
    DurableWriter(
            KeyedLog log,
            String topic,
            long endOffset,
            ScheduledExecutorService loop,
            LogServiceContact contact,
            Metrics metrics,
            Runnable onReplaced) {
        this.log = log;
        this.topic = topic;
        this.endOffset = endOffset;
        this.loop = loop;
        this.contact = contact;
        this.metrics = metrics;
        this.onReplaced = onReplaced;
        this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, new Random());
    }

    /** Marks a key as changed. Its value is obtained when the record is written. */
    void put(String key, Supplier<byte[]> value) {
        pendingValues.put(key, value);
    }

    /** Runs an action once all keys marked so far have been stored. */
    void whenStored(Runnable action) {
        pendingActions.add(action);
    }

    /** Writes the marked keys, unless an append is in progress or a retry is due later. */
    void flush() {
        boolean nothingPending = pendingValues.isEmpty() && pendingActions.isEmpty();
        if (closed || batch != null || nothingPending || retryPaused) {
            return;
        }
        outcomeUnknown = false;
        batch = takeBatch();
        if (batch.records().isEmpty()) {
            finishBatch();
        } else {
            send();
        }
    }

    /** Reads the log from its expected end to detect records of other writers. */
    void checkForOtherWriters() {
        if (closed || batch != null || checking) {
            return;
        }
        checking = true;
        LogServiceContact.ClockReading sent = contact.now();
        log.read(topic, endOffset, Duration.ZERO)
                .thenCompose(this::resolveEnd)
                .whenCompleteAsync(
                        (end, error) -> {
                            checking = false;
                            onCheckAnswer(sent, end, error);
                        },
                        loop);
    }

    /**
     * Returns the offset at which the log ends. The slice does not contain it if the log service
     * has compacted the records after the expected end.
     */
    private CompletableFuture<Long> resolveEnd(KeyedSlice slice) {
        return slice.expired()
                ? log.newest(topic, JobStore.AFTER_ALL_KEYS).thenApply(KeyedPage::endOffset)
                : CompletableFuture.completedFuture(slice.endOffset());
    }

    /**
     * Requests proof that no other process has written, as of some time after this call.
     *
     * @return a future that completes with the proof, and fails if records of other writers are
     *     found or a call to the log service fails
     */
    CompletableFuture<Void> confirmNoOtherWriter() {
        CompletableFuture<Void> result = new CompletableFuture<>();
        if (closed) {
            result.completeExceptionally(Dispatcher.notDispatcherException());
            return result;
        }
        pendingProofs.add(new PendingProof(contact.now(), result));
        checkForOtherWriters();
        return result;
    }

    /**
     * Returns for how long calls to the log service have failed, in milliseconds; 0 if it responds.
     */
    long logFailingForMillis() {
        return failingSinceMillis < 0 ? 0 : contact.now().monotonicMillis() - failingSinceMillis;
    }

    /** Stops writing. */
    void close() {
        closed = true;
        failProofs(Dispatcher.notDispatcherException());
    }

    /**
     * Completes the proofs that were requested by the time a call was sent; starts a check for the
     * others.
     *
     * @param sent when the call was sent
     */
    private void completeProofs(LogServiceContact.ClockReading sent) {
        List<PendingProof> confirmed =
                pendingProofs.stream()
                        .filter(p -> p.requestedAt().monotonicMillis() <= sent.monotonicMillis())
                        .toList();
        pendingProofs.removeAll(confirmed);
        confirmed.forEach(p -> p.result().complete(null));
        if (!pendingProofs.isEmpty()) {
            checkForOtherWriters();
        }
    }

    private static SchedulerException logUnavailable(Throwable error) {
        return new SchedulerException(
                FailureType.LOG_UNAVAILABLE,
                "the log service does not respond: " + Failures.causeOf(error));
    }

    private void failProofs(SchedulerException reason) {
        List<PendingProof> all = List.copyOf(pendingProofs);
        pendingProofs.clear();
        all.forEach(p -> p.result().completeExceptionally(reason));
    }

    private Batch takeBatch() {
        List<KeyedRecord> records = new ArrayList<>();
        Map<String, Supplier<byte[]>> values = new LinkedHashMap<>();
        int bytes = 0;
        var entries = pendingValues.entrySet().iterator();
        while (entries.hasNext() && bytes < MAX_BATCH_BYTES) {
            Map.Entry<String, Supplier<byte[]>> entry = entries.next();
            KeyedRecord written = new KeyedRecord(entry.getKey(), entry.getValue().get());
            bytes += written.value().length + entry.getKey().length();
            records.add(written);
            values.put(entry.getKey(), entry.getValue());
            entries.remove();
        }
        // Actions wait for all keys that were marked before them.
        List<Runnable> actions = pendingValues.isEmpty() ? pendingActions : List.of();
        if (pendingValues.isEmpty()) {
            pendingActions = new ArrayList<>();
        }
        return new Batch(records, values, actions);
    }

    private void send() {
        if (closed) {
            return;
        }
        LogServiceContact.ClockReading sent = contact.now();
        log.append(topic, batch.records(), endOffset, APPEND_TIMEOUT)
                .whenCompleteAsync((outcome, error) -> onAppendAnswer(sent, outcome, error), loop);
    }

    private void onAppendAnswer(
            LogServiceContact.ClockReading sent, AppendOutcome outcome, Throwable error) {
        if (closed) {
            return;
        }
        if (error != null) {
            onAppendFailure(sent, error);
        } else if (outcome.appended()) {
            onStored(outcome.endOffset(), sent);
        } else {
            identifyRecordsAtEnd();
        }
    }

    private void onAppendFailure(LogServiceContact.ClockReading sent, Throwable error) {
        FailureType type = Failures.typeOf(error);
        metrics.countRetry(type);
        markFailing(sent, error);
        failProofs(logUnavailable(error));
        outcomeUnknown |= type != FailureType.LOG_UNAVAILABLE;
        if (outcomeUnknown) {
            loop.schedule(this::send, backoff.nextMillis(), TimeUnit.MILLISECONDS);
        } else {
            requeueBatch();
        }
    }

    private void markFailing(LogServiceContact.ClockReading sent, Throwable error) {
        if (failingSinceMillis < 0) {
            failingSinceMillis = sent.monotonicMillis();
            EventLog.event("store-lost").field("end", endOffset).error(error).warn();
        }
    }

    /**
     * Marks the keys of the batch as pending again. Called only if the log service has certainly
     * stored none of its records.
     */
    private void requeueBatch() {
        Map<String, Supplier<byte[]>> all = new LinkedHashMap<>(batch.values());
        all.putAll(pendingValues);
        pendingValues.clear();
        pendingValues.putAll(all);
        List<Runnable> actions = new ArrayList<>(batch.actions());
        actions.addAll(pendingActions);
        pendingActions = actions;
        batch = null;
        retryPaused = true;
        loop.schedule(this::resume, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private void resume() {
        retryPaused = false;
        flush();
    }

    /**
     * Reads the records at the expected end, to tell whether they are the batch, stored by an
     * append whose response was lost, or records of another writer.
     */
    private void identifyRecordsAtEnd() {
        LogServiceContact.ClockReading sent = contact.now();
        log.read(topic, endOffset, Duration.ZERO)
                .whenCompleteAsync(
                        (slice, error) -> {
                            if (closed) {
                                return;
                            }
                            if (error != null) {
                                loop.schedule(
                                        this::identifyRecordsAtEnd,
                                        backoff.nextMillis(),
                                        TimeUnit.MILLISECONDS);
                            } else if (matchesBatch(slice)) {
                                onStored(endOffset + batch.records().size(), sent);
                            } else {
                                stepDown(slice.endOffset());
                            }
                        },
                        loop);
    }

    /** Tells whether the records at the expected end are exactly those of the batch. */
    private boolean matchesBatch(KeyedSlice slice) {
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

    private void onStored(long newEnd, LogServiceContact.ClockReading sent) {
        contact.confirm(sent);
        metrics.timer("store.append")
                .update(
                        contact.now().monotonicMillis() - sent.monotonicMillis(),
                        TimeUnit.MILLISECONDS);
        markRecovered();
        backoff.reset();
        endOffset = newEnd;
        finishBatch();
        completeProofs(sent);
    }

    private void markRecovered() {
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

    private void onCheckAnswer(LogServiceContact.ClockReading sent, Long end, Throwable error) {
        if (closed || batch != null) {
            return;
        }
        if (error != null) {
            if (contact.confirmedBefore(sent)) {
                markFailing(sent, error);
            }
            failProofs(logUnavailable(error));
        } else if (end > endOffset) {
            stepDown(end);
        } else {
            markRecovered();
            contact.confirm(sent);
            backoff.reset();
            resume();
            completeProofs(sent);
        }
    }

    private void stepDown(long foundEnd) {
        EventLog.event("dispatcher-replaced")
                .field("end", endOffset)
                .field("found", foundEnd)
                .warn();
        close();
        onReplaced.run();
    }
}
