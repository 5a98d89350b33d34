package org.fescueloom.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.log.LogPage;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.NewRecord;

/**
 * Holds the records of one stream.
 *
 * <p>Safe for use by several threads.
 */
final class LogStream {
    private final int maxRecords;
    private final Deque<LogRecord> records = new ArrayDeque<>();
    private long nextOffset;
    private CompletableFuture<Void> nextAppend = new CompletableFuture<>();

    /**
     * Creates an empty stream.
     *
     * @param maxRecords the largest number of records that the stream retains
     */
    LogStream(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /**
     * Appends records with consecutive offsets, removes the oldest records beyond the limit, and
     * wakes the waiting readers.
     *
     * @param newRecords the records, not null
     * @return the offset of the first appended record
     */
    long append(List<NewRecord> newRecords) {
        CompletableFuture<Void> completedAppend;
        long firstNewOffset;
        synchronized (this) {
            firstNewOffset = nextOffset;
            long nowMillis = System.currentTimeMillis();
            for (NewRecord r : newRecords) {
                records.addLast(new LogRecord(nextOffset, nowMillis, r.id(), r.payload()));
                nextOffset++;
            }
            trim(maxRecords);
            completedAppend = nextAppend;
            nextAppend = new CompletableFuture<>();
        }
        completedAppend.complete(null);
        return firstNewOffset;
    }

    /**
     * Removes the oldest records.
     *
     * @param keep the number of newest records that are kept
     */
    synchronized void trim(int keep) {
        while (records.size() > keep) {
            records.removeFirst();
        }
    }

    /**
     * Returns the offset of the oldest record that is kept.
     *
     * @return the offset; the offset of the next append if the stream is empty
     */
    synchronized long firstOffset() {
        return records.isEmpty() ? nextOffset : records.getFirst().offset();
    }

    /**
     * Returns a future that completes when there is something to read from an offset.
     *
     * @param from the offset
     * @return a future, never null; it is complete if a record was already appended at the offset,
     *     also if that record has been removed since, and completes at the next append otherwise
     */
    synchronized CompletableFuture<Void> await(long from) {
        return from < nextOffset ? CompletableFuture.completedFuture(null) : nextAppend.copy();
    }

    /**
     * Returns the records from an offset on.
     *
     * @param from the offset of the first record to return; below the oldest record that is kept,
     *     no records are returned
     * @param max the largest number of records to return
     * @return the page, never null
     */
    synchronized LogPage page(long from, int max) {
        long firstKept = firstOffset();
        List<LogRecord> pageRecords = new ArrayList<>();
        if (from >= firstKept) {
            records.stream().filter(r -> r.offset() >= from).limit(max).forEach(pageRecords::add);
        }
        return new LogPage(firstKept, nextOffset, pageRecords);
    }
}
