package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reaches a log service that keeps the newest record of each key.
 *
 * <p>Futures fail with a {@link org.fescueloom.failure.SchedulerException}: {@code LOG_UNAVAILABLE}
 * if nothing was done, {@code LOG_UNDECIDED} if it may have been or may still be.
 */
public interface KeyedLog {
    /** Stands for an append without a condition. */
    long ANY_END = -1;

    /**
     * Appends records, all or none.
     *
     * @param topic the log, not null
     * @param records the records, not null
     * @param expectedEnd the offset at which the log must end, or {@link #ANY_END}
     * @param timeout the longest time to wait for the answer, not null
     * @return a future of the outcome
     */
    CompletableFuture<AppendOutcome> append(
            String topic, List<KeyedRecord> records, long expectedEnd, Duration timeout);

    /**
     * Reads the newest record of each key.
     *
     * @param topic the log, not null
     * @param afterKey the last key of the page before; empty for the first page
     * @return a future of the page
     */
    CompletableFuture<KeyedPage> newest(String topic, String afterKey);

    /**
     * Reads records in order.
     *
     * @param topic the log, not null
     * @param from the offset of the first one
     * @param wait how long the log waits for a record, not null
     * @return a future of the records
     */
    CompletableFuture<KeyedSlice> read(String topic, long from, Duration wait);
}
