package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;

/** Is a keyed log in memory that can refuse calls, lose answers and carry out appends late. */
public final class MemoryKeyedLog implements KeyedLog {
    /** Names what happens to a call. */
    public enum Fault {
        /** It is carried out and answered. */
        NONE,
        /** Nothing is done, and the caller is told so. */
        REFUSED,
        /** It is carried out, and the answer is lost. */
        ANSWER_LOST,
        /**
         * It is neither carried out nor answered now, and carried out by {@link
         * #runDelayedAppends}.
         */
        DELAYED
    }

    private final Map<String, List<KeyedRecord>> topics = new LinkedHashMap<>();
    private final Map<String, Integer> forgotten = new HashMap<>();
    private final List<Runnable> late = new ArrayList<>();
    private Fault appendFault = Fault.NONE;
    private Fault readFault = Fault.NONE;
    private int appendCount;

    /** Sets what happens to appends from now on. */
    public synchronized void setAppendFault(Fault fault) {
        appendFault = fault;
    }

    /** Sets what happens to reads from now on. */
    public synchronized void setReadFault(Fault fault) {
        readFault = fault;
    }

    /** Carries out the appends that were held back, if their conditions still hold. */
    public synchronized void runDelayedAppends() {
        late.forEach(Runnable::run);
        late.clear();
    }

    /** Keeps only the newest record of each key, as the log service does after a while. */
    public synchronized void compact(String topic) {
        forgotten.put(topic, records(topic).size());
    }

    /** Returns how many appends were carried out. */
    public synchronized int appendCount() {
        return appendCount;
    }

    /** Returns all records of a topic. */
    public synchronized List<KeyedRecord> records(String topic) {
        return List.copyOf(topics.getOrDefault(topic, List.of()));
    }

    @Override
    public synchronized CompletableFuture<AppendOutcome> append(
            String topic, List<KeyedRecord> records, long expectedEnd, Duration timeout) {
        switch (appendFault) {
            case REFUSED -> {
                return failed(FailureType.LOG_UNAVAILABLE);
            }
            case ANSWER_LOST -> {
                appendNow(topic, records, expectedEnd);
                return failed(FailureType.LOG_UNDECIDED);
            }
            case DELAYED -> {
                late.add(() -> appendNow(topic, records, expectedEnd));
                return failed(FailureType.LOG_UNDECIDED);
            }
            default -> {
                return CompletableFuture.completedFuture(appendNow(topic, records, expectedEnd));
            }
        }
    }

    private AppendOutcome appendNow(String topic, List<KeyedRecord> records, long expectedEnd) {
        List<KeyedRecord> all = topics.computeIfAbsent(topic, t -> new ArrayList<>());
        if (expectedEnd != ANY_END && expectedEnd != all.size()) {
            return new AppendOutcome(false, all.size());
        }
        all.addAll(records);
        appendCount++;
        return new AppendOutcome(true, all.size());
    }

    @Override
    public synchronized CompletableFuture<KeyedPage> newest(String topic, String afterKey) {
        if (readFault == Fault.REFUSED) {
            return failed(FailureType.LOG_UNAVAILABLE);
        }
        Map<String, KeyedRecord> newest = new LinkedHashMap<>();
        List<KeyedRecord> all = topics.getOrDefault(topic, List.of());
        for (KeyedRecord item : all) {
            newest.remove(item.key());
            if (item.value().length > 0) {
                newest.put(item.key(), item);
            }
        }
        return CompletableFuture.completedFuture(
                new KeyedPage(new ArrayList<>(newest.values()), false, all.size()));
    }

    @Override
    public synchronized CompletableFuture<KeyedSlice> read(String topic, long from, Duration wait) {
        if (readFault == Fault.REFUSED) {
            return failed(FailureType.LOG_UNAVAILABLE);
        }
        List<KeyedRecord> all = topics.getOrDefault(topic, List.of());
        if (from < forgotten.getOrDefault(topic, 0)) {
            return CompletableFuture.completedFuture(new KeyedSlice(List.of(), from, true));
        }
        int first = (int) Math.min(from, all.size());
        return CompletableFuture.completedFuture(
                new KeyedSlice(all.subList(first, all.size()), all.size(), false));
    }

    private static <T> CompletableFuture<T> failed(FailureType type) {
        return CompletableFuture.failedFuture(new SchedulerException(type, "fault of the test"));
    }
}
