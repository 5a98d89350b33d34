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
    private final int retain;
    private final Deque<LogRecord> records = new ArrayDeque<>();
    private long next;
    private CompletableFuture<Void> appended = new CompletableFuture<>();

    /**
     * Creates an empty stream.
     *
     * @param retain how many records are kept
     */
    LogStream(int retain) {
        this.retain = retain;
    }

    /**
     * Appends records together and wakes the readers that wait.
     *
     * @param added the records, not null
     * @return the offset of the first one
     */
    long append(List<NewRecord> added) {
        CompletableFuture<Void> wake;
        long offset;
        synchronized (this) {
            offset = next;
            long now = System.currentTimeMillis();
            for (NewRecord r : added) {
                records.addLast(new LogRecord(next, now, r.id(), r.payload()));
                next++;
            }
            trim(retain);
            wake = appended;
            appended = new CompletableFuture<>();
        }
        wake.complete(null);
        return offset;
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
    synchronized long first() {
        return records.isEmpty() ? next : records.getFirst().offset();
    }

    /**
     * Waits for a record at an offset.
     *
     * @param from the offset
     * @return completes at once if a record is there or was removed, else at the next append
     */
    synchronized CompletableFuture<Void> await(long from) {
        return from < next ? CompletableFuture.completedFuture(null) : appended.copy();
    }

    /**
     * Returns records from an offset.
     *
     * @param from the offset of the first one; below the first kept one the page is empty
     * @param max how many at most
     * @return the page, never null
     */
    synchronized LogPage page(long from, int max) {
        long first = first();
        List<LogRecord> found = new ArrayList<>();
        if (from >= first) {
            records.stream().filter(r -> r.offset() >= from).limit(max).forEach(found::add);
        }
        return new LogPage(first, next, found);
    }
}
