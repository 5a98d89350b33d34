package org.fescueloom.daemon.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Accesses keyed logs of the log service, which keeps the newest record of each key.
 *
 * <p>Futures fail with a {@link org.fescueloom.failure.SchedulerException}: {@code LOG_UNAVAILABLE}
 * if the call had no effect, {@code LOG_REFUSED} if it will never have one because a record is too
 * long, {@code LOG_UNDECIDED} if its outcome is unknown and it may still be executed.
 */
public interface KeyedLog {
    /** Expected end offset of an append without a condition. */
    long ANY_END = -1;

    /**
     * Appends records, all or none.
     *
     * @param partition the log, not null
     * @param records the records, not null
     * @param expectedEnd the offset at which the log must end, or {@link #ANY_END}
     * @param timeout the maximum time to wait for the response, not null
     * @return a future of the outcome
     */
    CompletableFuture<AppendOutcome> append(
            LogPartition partition, List<KeyedRecord> records, long expectedEnd, Duration timeout);

    /**
     * Reads a page of the newest records of all keys.
     *
     * @param partition the log, not null
     * @param afterKey the last key of the previous page; empty for the first page
     * @return a future of the page
     */
    CompletableFuture<KeyedPage> newest(LogPartition partition, String afterKey);

    /**
     * Reads records in order.
     *
     * @param partition the log, not null
     * @param from the offset of the first record
     * @param wait the maximum time for which the log service waits for a record, not null
     * @return a future of the records
     */
    CompletableFuture<KeyedSlice> read(LogPartition partition, long from, Duration wait);
}
