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
 * repeated unchanged until the log service reports its outcome; the expected end keeps a late
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

    /** Upper bound of the pause after the first failed call; doubles with each further failure. */
    private static final long FIRST_RETRY_MILLIS = 40;

    /** Maximum pause after a failed call. */
    private static final long MAX_RETRY_MILLIS = 400;

    /** The pause after an append of a writer that yields to claims, in durations of the append. */
    private static final int YIELD_FACTOR = 2;

    private final KeyedLog log;
    private final LogPartition partition;
    private final ScheduledExecutorService loop;
    private final LogServiceContact contact;
    private final Metrics metrics;
    private final Listener listener;
    private final RefusedRecords refusedRecords = new RefusedRecords();
    private final Backoff backoff;
    private final List<PendingConfirmation> pendingConfirmations = new ArrayList<>();
    private final Map<String, Supplier<byte[]>> pendingValues = new LinkedHashMap<>();
    private List<Runnable> pendingActions = new ArrayList<>();

    /** The batch that is being appended; null if there is none. */
    private Batch batch;

    /** The offset at which the log ends if no other process has written. */
    private long expectedEnd;

    /**
     * The monotonic time at which the first of the calls that have failed since the last success
     * was sent; -1 while the log service responds.
     */
    private long failingSinceMillis = -1;

    /** Whether a read by {@link #checkForOtherWriters} is in progress. */
    private boolean checking;

    /** Whether an append of the current batch may have been or may still be executed. */
    private boolean outcomeUnknown;

    /**
     * Whether the next append waits: for the retry of a failed batch whose records are pending
     * again, or for the claim of another entry.
     */
    private boolean paused;

    private boolean yieldsToClaims;

    private boolean closed;

    /** Handles the events of a writer that its owner has to know of. */
    interface Listener {
        /** Handles that records of another process were found. Called once, at the end. */
        void onReplaced();

        /**
         * Handles that the log service will never store a record. The writer has logged that, and
         * leaves the record out; by default nothing else is done.
         *
         * @param key the key of the record, not null
         */
        default void onRefused(String key) {}
    }

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
     * Holds a request to confirm that no other process has written to the log. A response that
     * shows no records of other processes is such a confirmation if its call was sent at or after
     * {@code requestedAt}.
     *
     * @param requestedAt when the confirmation was requested
     * @param confirmation completed by such a response
     */
    private record PendingConfirmation(
            LogServiceContact.ClockReading requestedAt, CompletableFuture<Void> confirmation) {}

    /**
     * Creates a writer.
     *
     * @param log the log service
     * @param partition the log to write
     * @param expectedEnd the offset at which the log ends if no other process has written
     * @param loop the event loop of the owner
     * @param contact records when the log service has responded
     * @param metrics counts retries and measures appends
     * @param listener handles the replacement of the owner, and records that are refused for good
     */
    DurableWriter(
            KeyedLog log,
            LogPartition partition,
            long expectedEnd,
            ScheduledExecutorService loop,
            LogServiceContact contact,
            Metrics metrics,
            Listener listener) {
        this.log = log;
        this.partition = partition;
        this.expectedEnd = expectedEnd;
        this.loop = loop;
        this.contact = contact;
        this.metrics = metrics;
        this.listener = listener;
        this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, new Random());
    }

    /**
     * Adds a key to the pending keys; a later value replaces an earlier one. The value is obtained
     * when the record is written.
     */
    void put(String key, Supplier<byte[]> value) {
        pendingValues.put(key, value);
    }

    /** Runs an action once all keys added so far have been stored. */
    void whenStored(Runnable action) {
        pendingActions.add(action);
    }

    /**
     * Writes the next batch of pending keys, unless an append is in progress or a failed batch
     * waits for its retry. Further batches follow without further calls of this method.
     */
    void flush() {
        boolean nothingPending = pendingValues.isEmpty() && pendingActions.isEmpty();
        if (closed || batch != null || nothingPending || paused) {
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

    /**
     * Pauses after each append from now on, for longer than another entry needs to learn where the
     * log ends and to claim there. Without pauses, appends that follow each other without a gap
     * make all claims fail if calls take long.
     */
    void yieldToClaims() {
        yieldsToClaims = true;
    }

    /**
     * Reads the log from the expected end, to detect records of other processes. Does nothing while
     * an append or another check is in progress.
     */
    void checkForOtherWriters() {
        if (closed || batch != null || checking) {
            return;
        }
        checking = true;
        LogServiceContact.ClockReading sent = contact.now();
        log.read(partition, expectedEnd, Duration.ZERO)
                .thenCompose(this::resolveEnd)
                .whenCompleteAsync(
                        (end, error) -> {
                            checking = false;
                            onCheckResponse(sent, end, error);
                        },
                        loop);
    }

    /**
     * Returns the actual end of the log. The end offset of an expired slice cannot be used, so the
     * end is then read with a page of the newest records.
     */
    private CompletableFuture<Long> resolveEnd(KeyedSlice slice) {
        return slice.expired()
                ? log.newest(partition, JobStore.AFTER_ALL_KEYS).thenApply(KeyedPage::endOffset)
                : CompletableFuture.completedFuture(slice.endOffset());
    }

    /**
     * Confirms that no other process has written to the log, as of some time after this call.
     *
     * @return a future that completes with the confirmation; fails if records of another process
     *     are found, if a call to the log service fails, or if this writer is closed
     */
    CompletableFuture<Void> confirmNoOtherWriter() {
        CompletableFuture<Void> confirmation = new CompletableFuture<>();
        if (closed) {
            confirmation.completeExceptionally(Dispatcher.notDispatcherException());
            return confirmation;
        }
        pendingConfirmations.add(new PendingConfirmation(contact.now(), confirmation));
        checkForOtherWriters();
        return confirmation;
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
        failConfirmations(Dispatcher.notDispatcherException());
    }

    /**
     * Completes the confirmations requested no later than a call was sent; starts a check for the
     * others.
     *
     * @param sent when the call was sent
     */
    private void completeConfirmations(LogServiceContact.ClockReading sent) {
        List<PendingConfirmation> confirmed =
                pendingConfirmations.stream()
                        .filter(p -> p.requestedAt().monotonicMillis() <= sent.monotonicMillis())
                        .toList();
        pendingConfirmations.removeAll(confirmed);
        confirmed.forEach(p -> p.confirmation().complete(null));
        if (!pendingConfirmations.isEmpty()) {
            checkForOtherWriters();
        }
    }

    private SchedulerException logUnavailable(Throwable error) {
        return new SchedulerException(
                FailureType.LOG_UNAVAILABLE,
                "the call to the log service for "
                        + partition
                        + " at offset "
                        + expectedEnd
                        + " has failed: "
                        + Failures.causeOf(error));
    }

    private void failConfirmations(SchedulerException reason) {
        List<PendingConfirmation> all = List.copyOf(pendingConfirmations);
        pendingConfirmations.clear();
        all.forEach(p -> p.confirmation().completeExceptionally(reason));
    }

    private Batch takeBatch() {
        List<KeyedRecord> records = new ArrayList<>();
        Map<String, Supplier<byte[]>> values = new LinkedHashMap<>();
        int bytes = 0;
        var entries = pendingValues.entrySet().iterator();
        while (entries.hasNext()
                && bytes < MAX_BATCH_BYTES
                && records.size() < refusedRecords.maxBatchRecords()) {
            Map.Entry<String, Supplier<byte[]>> entry = entries.next();
            KeyedRecord written = new KeyedRecord(entry.getKey(), entry.getValue().get());
            bytes += written.value().length + entry.getKey().length();
            records.add(written);
            values.put(entry.getKey(), entry.getValue());
            entries.remove();
        }
        // Actions wait for all keys that were added before them.
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
        log.append(partition, batch.records(), expectedEnd, APPEND_TIMEOUT)
                .whenCompleteAsync(
                        (outcome, error) -> onAppendResponse(sent, outcome, error), loop);
    }

    private void onAppendResponse(
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
        failConfirmations(logUnavailable(error));
        if (type == FailureType.LOG_REFUSED) {
            onBatchRefused(error);
            return;
        }
        markLogFailing(sent, error);
        // Once an append of this batch may have been executed, the batch must be repeated
        // unchanged.
        outcomeUnknown |= type != FailureType.LOG_UNAVAILABLE;
        if (outcomeUnknown) {
            loop.schedule(this::send, backoff.nextMillis(), TimeUnit.MILLISECONDS);
        } else {
            requeueBatch();
        }
    }

    /** Tries the records of a refused batch apart, so that one of them does not stop the others. */
    private void onBatchRefused(Throwable error) {
        if (refusedRecords.onRefused(batch.records())) {
            String key = batch.records().get(0).key();
            metrics.count("store.records-refused");
            EventLog.event("record-refused")
                    .field("key", key)
                    .field("bytes", batch.records().get(0).value().length)
                    .error(error)
                    .error();
            listener.onRefused(key);
            finishBatch();
        } else if (batch.records().size() == 1) {
            batch.values().forEach(pendingValues::putIfAbsent);
            requeueActions();
        } else {
            requeueBatch();
        }
    }

    private void markLogFailing(LogServiceContact.ClockReading sent, Throwable error) {
        if (failingSinceMillis < 0) {
            failingSinceMillis = sent.monotonicMillis();
            EventLog.event("store-lost").field("end", expectedEnd).error(error).warn();
        }
    }

    /**
     * Adds the keys of the batch to the pending keys again, before the others. Called only if the
     * log service has certainly stored none of its records.
     */
    private void requeueBatch() {
        Map<String, Supplier<byte[]>> all = new LinkedHashMap<>(batch.values());
        all.putAll(pendingValues);
        pendingValues.clear();
        pendingValues.putAll(all);
        requeueActions();
    }

    private void requeueActions() {
        List<Runnable> actions = new ArrayList<>(batch.actions());
        actions.addAll(pendingActions);
        pendingActions = actions;
        batch = null;
        paused = true;
        loop.schedule(this::resume, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private void resume() {
        paused = false;
        flush();
    }

    /**
     * Reads the records at the expected end after the log service has rejected an append. They are
     * either the batch, stored by an append whose response was lost, or records of another process.
     */
    private void identifyRecordsAtEnd() {
        LogServiceContact.ClockReading sent = contact.now();
        log.read(partition, expectedEnd, Duration.ZERO)
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
                                onStored(expectedEnd + batch.records().size(), sent);
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
        if (found.size() != expected.size() || slice.endOffset() != expectedEnd + expected.size()) {
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
        long tookMillis = contact.now().monotonicMillis() - sent.monotonicMillis();
        metrics.timer("store.append").update(tookMillis, TimeUnit.MILLISECONDS);
        if (yieldsToClaims) {
            paused = true;
            loop.schedule(this::resume, YIELD_FACTOR * tookMillis, TimeUnit.MILLISECONDS);
        }
        markLogRecovered();
        backoff.reset();
        expectedEnd = newEnd;
        refusedRecords.onStored(batch.records());
        finishBatch();
        completeConfirmations(sent);
    }

    private void markLogRecovered() {
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

    private void onCheckResponse(LogServiceContact.ClockReading sent, Long end, Throwable error) {
        // The response to an append in progress completes or fails the pending confirmations.
        if (closed || batch != null) {
            return;
        }
        if (error != null) {
            // A failure counts only if no call sent later has succeeded.
            if (contact.confirmedBefore(sent)) {
                markLogFailing(sent, error);
            }
            failConfirmations(logUnavailable(error));
        } else if (end > expectedEnd) {
            stepDown(end);
        } else {
            markLogRecovered();
            contact.confirm(sent);
            backoff.reset();
            // The log service responds, so a failed batch need not wait any longer.
            resume();
            completeConfirmations(sent);
        }
    }

    private void stepDown(long foundEnd) {
        EventLog.event("dispatcher-replaced")
                .field("end", expectedEnd)
                .field("found", foundEnd)
                .warn();
        close();
        listener.onReplaced();
    }
}
