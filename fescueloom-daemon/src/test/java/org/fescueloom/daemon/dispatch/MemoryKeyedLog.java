package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Keeps logs in memory, and can refuse calls, lose responses and execute appends late. */
public final class MemoryKeyedLog implements KeyedLog {
    /** The longest record that the log service of known deployments accepts. */
    static final int KNOWN_RECORD_BYTES = 262_144;

    /** The longest page of newest records. */
    private static final int PAGE_RECORDS = 500;

    /** Names the faults of a call. */
    public enum Fault {
        /** The call is executed and gets a response. */
        NONE,
        /** The call is not executed, and fails with {@code LOG_UNAVAILABLE}. */
        REFUSED,
        /** The call is executed, but its response is lost: it fails with {@code LOG_UNDECIDED}. */
        ANSWER_LOST,
        /** The call gets no response, and is executed only by {@link #runDelayedAppends}. */
        DELAYED
    }

    private final Map<LogPartition, List<KeyedRecord>> partitions = new LinkedHashMap<>();

    /** The offset before which the records of a log are compacted, by partition. */
    private final Map<LogPartition, Integer> compactedBefore = new HashMap<>();

    private final List<Runnable> delayedAppends = new ArrayList<>();
    private Fault appendFault = Fault.NONE;
    private Fault readFault = Fault.NONE;
    private int appendCount;
    private int maxRecordBytes = Integer.MAX_VALUE;
    private final Set<LogPartition> silentPartitions = new HashSet<>();
    private final Map<LogPartition, Duration> lastWaits = new HashMap<>();

    /** Returns for how long the last read of a partition would have waited for records. */
    synchronized Duration lastWait(LogPartition partition) {
        return lastWaits.get(partition);
    }

    /**
     * Sets whether calls to a partition get no response from now on. They are not executed, and
     * fail at once with {@code LOG_UNDECIDED}, as if their time were over.
     */
    synchronized void setSilent(LogPartition partition, boolean silent) {
        if (silent) {
            silentPartitions.add(partition);
        } else {
            silentPartitions.remove(partition);
        }
    }

    /** Refuses appends from now on that hold a longer record, key and its length included. */
    synchronized void limitRecords(int bytes) {
        maxRecordBytes = bytes;
    }

    /** Sets the fault of appends from now on. */
    public synchronized void setAppendFault(Fault fault) {
        appendFault = fault;
    }

    /** Sets the fault of reads from now on; only {@link Fault#REFUSED} affects them. */
    public synchronized void setReadFault(Fault fault) {
        readFault = fault;
    }

    /** Executes the delayed appends whose conditions still hold. */
    public synchronized void runDelayedAppends() {
        delayedAppends.forEach(Runnable::run);
        delayedAppends.clear();
    }

    /**
     * Compacts a log, as the log service does after a while: reads that start before its current
     * end are reported as expired.
     */
    public synchronized void compact(LogPartition partition) {
        compactedBefore.put(partition, records(partition).size());
    }

    /** Returns the number of executed appends. */
    public synchronized int appendCount() {
        return appendCount;
    }

    /** Returns all records of a log, including those that were compacted. */
    public synchronized List<KeyedRecord> records(LogPartition partition) {
        return List.copyOf(partitions.getOrDefault(partition, List.of()));
    }

    @Override
    public synchronized CompletableFuture<AppendOutcome> append(
            LogPartition partition, List<KeyedRecord> records, long expectedEnd, Duration timeout) {
        if (records.stream()
                .anyMatch(r -> 1 + r.key().length() + r.value().length > maxRecordBytes)) {
            return failed(FailureType.LOG_REFUSED);
        }
        if (silentPartitions.contains(partition)) {
            return failed(FailureType.LOG_UNDECIDED);
        }
        switch (appendFault) {
            case REFUSED -> {
                return failed(FailureType.LOG_UNAVAILABLE);
            }
            case ANSWER_LOST -> {
                appendNow(partition, records, expectedEnd);
                return failed(FailureType.LOG_UNDECIDED);
            }
            case DELAYED -> {
                delayedAppends.add(() -> appendNow(partition, records, expectedEnd));
                return failed(FailureType.LOG_UNDECIDED);
            }
            default -> {
                return CompletableFuture.completedFuture(
                        appendNow(partition, records, expectedEnd));
            }
        }
    }

    private AppendOutcome appendNow(
            LogPartition partition, List<KeyedRecord> records, long expectedEnd) {
        List<KeyedRecord> all = partitions.computeIfAbsent(partition, p -> new ArrayList<>());
        if (expectedEnd != ANY_END && expectedEnd != all.size()) {
            return new AppendOutcome(false, all.size());
        }
        all.addAll(records);
        appendCount++;
        return new AppendOutcome(true, all.size());
    }

    @Override
    public synchronized CompletableFuture<KeyedPage> newest(
            LogPartition partition, String afterKey) {
        if (silentPartitions.contains(partition)) {
            return failed(FailureType.LOG_UNDECIDED);
        }
        if (readFault == Fault.REFUSED) {
            return failed(FailureType.LOG_UNAVAILABLE);
        }
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        List<KeyedRecord> all = partitions.getOrDefault(partition, List.of());
        for (KeyedRecord keyedRecord : all) {
            newest.remove(keyedRecord.key());
            if (keyedRecord.value().length > 0) {
                newest.put(keyedRecord.key(), keyedRecord);
            }
        }
        List<KeyedRecord> following = new ArrayList<>(newest.values());
        if (newest.containsKey(afterKey)) {
            following.subList(0, 1 + following.indexOf(newest.get(afterKey))).clear();
        }
        boolean hasMore = following.size() > PAGE_RECORDS;
        List<KeyedRecord> page = hasMore ? following.subList(0, PAGE_RECORDS) : following;
        return CompletableFuture.completedFuture(new KeyedPage(page, hasMore, all.size()));
    }

    @Override
    public synchronized CompletableFuture<KeyedSlice> read(
            LogPartition partition, long from, Duration wait) {
        lastWaits.put(partition, wait);
        if (silentPartitions.contains(partition)) {
            return failed(FailureType.LOG_UNDECIDED);
        }
        if (readFault == Fault.REFUSED) {
            return failed(FailureType.LOG_UNAVAILABLE);
        }
        List<KeyedRecord> all = partitions.getOrDefault(partition, List.of());
        if (from < compactedBefore.getOrDefault(partition, 0)) {
            return CompletableFuture.completedFuture(new KeyedSlice(List.of(), from, true));
        }
        int first = (int) Math.min(from, all.size());
        return CompletableFuture.completedFuture(
                new KeyedSlice(all.subList(first, all.size()), all.size(), false));
    }

    private static <T> CompletableFuture<T> failed(FailureType type) {
        return CompletableFuture.failedFuture(new SchedulerException(type, "injected by the test"));
    }
}
