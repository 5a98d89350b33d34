package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Holds the newest record of each key of a keyed log.
 *
 * @param resumeOffset the offset at which reading continues; records from this offset on may be
 *     missing
 * @param records the records, in the order of the log service, not null
 */
record LatestRecords(long resumeOffset, List<KeyedRecord> records) {
    /** Copies the list. */
    LatestRecords {
        records = List.copyOf(records);
    }

    /** Reads all pages of a keyed log. */
    static CompletableFuture<LatestRecords> read(KeyedLog log, LogPartition partition) {
        return readPages(log, partition, "", new ArrayList<>(), -1);
    }

    /**
     * Reads the pages after a key.
     *
     * @param afterKey the last key of the previous page; empty for the first page
     * @param records the records of the previous pages
     * @param firstEnd the end offset of the first page; negative if that page is still to be read
     */
    private static CompletableFuture<LatestRecords> readPages(
            KeyedLog log,
            LogPartition partition,
            String afterKey,
            List<KeyedRecord> records,
            long firstEnd) {
        return log.newest(partition, afterKey)
                .thenCompose(
                        page -> {
                            records.addAll(page.records());
                            // The pages are not read as of one offset, so reading continues from
                            // the end offset of the first page.
                            long end = firstEnd < 0 ? page.endOffset() : firstEnd;
                            // An empty page has no key after which reading could continue.
                            if (!page.hasMore() || page.records().isEmpty()) {
                                return CompletableFuture.completedFuture(
                                        new LatestRecords(end, records));
                            }
                            String last = page.records().get(page.records().size() - 1).key();
                            return readPages(log, partition, last, records, end);
                        });
    }
}
