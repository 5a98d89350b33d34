package org.fescueloom.standins.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.log.LogPage;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.NewRecord;

/** Keeps the records of one stream. Safe for use by several threads. */
final class LogStream {
    private final int maxRecords;
    private final Deque<LogRecord> records = new ArrayDeque<>();
    private long nextOffset;
    private CompletableFuture<Void> nextAppend = new CompletableFuture<>();

    /**
     * Creates an empty stream.
     *
     * @param maxRecords how many records are kept
     */
    LogStream(int maxRecords) {
        this.maxRecords = maxRecords;
    }

    /**
     * Appends records together and wakes the readers that wait.
     *
     * @param added the records, not null
     * @return the offset of the first one
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
     * Removes all but the newest records.
     *
     * @param keep how many are kept
     */
    synchronized void trim(int keep) {
        while (records.size() > keep) {
            records.removeFirst();
        }
    }

    /**
     * Returns the lowest offset that is kept.
     *
     * @return the offset
     */
    synchronized long firstOffset() {
        return records.isEmpty() ? nextOffset : records.getFirst().offset();
    }

    /**
     * Waits for a record at an offset.
     *
     * @param from the offset
     * @return completes at once if a record is there or was removed, else at the next append
     */
    synchronized CompletableFuture<Void> await(long from) {
        return from < nextOffset ? CompletableFuture.completedFuture(null) : nextAppend.copy();
    }

    /**
     * Returns records from an offset.
     *
     * @param from the offset of the first one; below the first kept one the page is empty
     * @param max how many at most
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
