package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;

/**
 * Appends records to one partition of the intake log. Records that arrive while the maximum number
 * of calls is in progress are sent together by a later call.
 *
 * <p>Confined to the event loop of its owner.
 */
final class IntakeAppender {
    /**
     * Maximum number of appends in progress at one time; leaves the other concurrent calls of the
     * log client to the rest of the entry.
     */
    private static final int MAX_CONCURRENT_CALLS = 8;

    /**
     * Size of the values at which a batch takes no further record. The last record, of up to 256
     * KiB, may exceed this size; the call stays within the limit of the log service of 2 MiB.
     */
    private static final int MAX_BATCH_BYTES = 1 << 20;

    /** The log service responds within 2 s, even if only to report that it is overloaded. */
    private static final Duration APPEND_TIMEOUT = Duration.ofMillis(2_200);

    private final KeyedLog log;
    private final LogPartition partition;
    private final Executor loop;
    private final LogServiceContact contact;
    private final Metrics metrics;
    private final List<PendingRecord> pending = new ArrayList<>();
    private int activeCalls;
    private boolean failing;

    /**
     * When the last call that has succeeded was sent. The initial value is before that of any call.
     */
    private long lastSuccessSentMillis = Long.MIN_VALUE;

    /** The last read that {@link #probe} has sent; null before the first. */
    private CompletableFuture<KeyedPage> probe;

    private long probeSentMillis;

    /** Holds a record that has not been sent yet, and the future to complete once it is stored. */
    private record PendingRecord(KeyedRecord keyedRecord, CompletableFuture<Void> stored) {}

    /** The records of refused batches, each of which is sent alone. */
    private final Deque<PendingRecord> toSendAlone = new ArrayDeque<>();

    /**
     * Creates an appender.
     *
     * @param log the log service
     * @param partition the partition to append to
     * @param loop the event loop of the owner
     * @param contact read for the monotonic time only
     * @param metrics counts appends and retries
     */
    IntakeAppender(
            KeyedLog log,
            LogPartition partition,
            Executor loop,
            LogServiceContact contact,
            Metrics metrics) {
        this.log = log;
        this.partition = partition;
        this.loop = loop;
        this.contact = contact;
        this.metrics = metrics;
    }

    /**
     * Appends a record.
     *
     * @param keyedRecord the record, of 256 KiB at most
     * @return a future that completes once the record is stored, and fails like the future that
     *     {@link KeyedLog#append} returns
     */
    CompletableFuture<Void> append(KeyedRecord keyedRecord) {
        CompletableFuture<Void> stored = new CompletableFuture<>();
        pending.add(new PendingRecord(keyedRecord, stored));
        send();
        return stored;
    }

    /**
     * Removes a record that has not been sent yet.
     *
     * @param stored the future that {@link #append} returned
     * @return whether the record had not been sent
     */
    boolean withdraw(CompletableFuture<Void> stored) {
        return pending.removeIf(p -> p.stored() == stored)
                || toSendAlone.removeIf(p -> p.stored() == stored);
    }

    /**
     * Tests whether the partition fails: a call has failed or was reported by {@link #markSilent},
     * and no call sent since has succeeded.
     */
    boolean failing() {
        return failing;
    }

    /** Marks the partition as failing, because a call has had no response for some time. */
    void markSilent() {
        setFailing(CallFailures.logUndecided("no response to an append"));
    }

    /** Returns the partition. */
    LogPartition partition() {
        return partition;
    }

    /**
     * Checks with a read whether the log service responds; calls at about the same time share one
     * read.
     *
     * @param maxAgeMillis a read that was sent longer ago is not shared, in milliseconds
     * @return a future of the read
     */
    CompletableFuture<KeyedPage> probe(long maxAgeMillis) {
        long now = contact.now().monotonicMillis();
        if (probe == null || probe.isDone() || now - probeSentMillis > maxAgeMillis) {
            probeSentMillis = now;
            probe = log.newest(partition, JobStore.AFTER_ALL_KEYS);
            probe.whenCompleteAsync((page, error) -> onCallEnd(now, error), loop);
        }
        return probe;
    }

    private void send() {
        if (activeCalls == MAX_CONCURRENT_CALLS || pending.isEmpty() && toSendAlone.isEmpty()) {
            return;
        }
        List<PendingRecord> batch =
                toSendAlone.isEmpty() ? nextBatch() : List.of(toSendAlone.remove());
        activeCalls++;
        long sentMillis = contact.now().monotonicMillis();
        log.append(
                        partition,
                        batch.stream().map(PendingRecord::keyedRecord).toList(),
                        KeyedLog.ANY_END,
                        APPEND_TIMEOUT)
                .whenCompleteAsync((outcome, error) -> onResponse(batch, sentMillis, error), loop);
    }

    /** Removes and returns the oldest pending records, up to the size of a batch. */
    private List<PendingRecord> nextBatch() {
        int bytes = 0;
        int count = 0;
        while (count < pending.size() && bytes < MAX_BATCH_BYTES) {
            bytes += pending.get(count).keyedRecord().value().length;
            count++;
        }
        List<PendingRecord> first = pending.subList(0, count);
        List<PendingRecord> batch = List.copyOf(first);
        first.clear();
        return batch;
    }

    /**
     * Marks the partition as failing if a call has failed, unless one that was sent later has
     * succeeded.
     *
     * @param sentMillis when the call was sent
     * @param error the failure of the call; null if it has succeeded
     */
    private void onCallEnd(long sentMillis, Throwable error) {
        if (error != null && sentMillis >= lastSuccessSentMillis) {
            setFailing(Failures.causeOf(error));
        }
    }

    private void setFailing(Throwable error) {
        if (!failing) {
            failing = true;
            EventLog.event("store-lost").field("log", partition).error(error).warn();
        }
    }

    private void setResponding(long sentMillis) {
        lastSuccessSentMillis = Math.max(lastSuccessSentMillis, sentMillis);
        if (failing) {
            failing = false;
            EventLog.event("store-regained").field("log", partition).info();
        }
    }

    private void onResponse(List<PendingRecord> batch, long sentMillis, Throwable error) {
        activeCalls--;
        boolean refused = error != null && Failures.typeOf(error) == FailureType.LOG_REFUSED;
        if (error == null || refused) {
            // The log service responds to a call that it refuses.
            setResponding(sentMillis);
        } else {
            onCallEnd(sentMillis, error);
        }
        if (refused && batch.size() > 1) {
            metrics.countRetry(FailureType.LOG_REFUSED);
            toSendAlone.addAll(batch);
        } else if (error == null) {
            metrics.count("intake.appends");
            batch.forEach(p -> p.stored().complete(null));
        } else {
            metrics.countRetry(Failures.typeOf(error));
            batch.forEach(p -> p.stored().completeExceptionally(error));
        }
        send();
    }
}
