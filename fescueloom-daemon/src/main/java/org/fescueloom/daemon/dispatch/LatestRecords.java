package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Holds the newest record of each key of a log.
 *
 * @param resumeOffset records from here on may be missing
 * @param records the records, in the order of the log service, not null
 */
record LatestRecords(long resumeOffset, List<KeyedRecord> records) {
    /** Copies the list. */
    LatestRecords {
        records = List.copyOf(records);
    }

    /** Reads all pages of a log. */
    static CompletableFuture<LatestRecords> read(KeyedLog log, String topic) {
        return readFrom(log, topic, "", new ArrayList<>(), -1);
    }

    private static CompletableFuture<LatestRecords> readFrom(
            KeyedLog log, String topic, String afterKey, List<KeyedRecord> records, long firstEnd) {
        return log.newest(topic, afterKey)
                .thenCompose(
                        page -> {
                            records.addAll(page.records());
                            // Pages are no snapshot: reading goes on from where the first one was.
                            long end = firstEnd < 0 ? page.endOffset() : firstEnd;
                            if (!page.hasMore() || page.records().isEmpty()) {
                                return CompletableFuture.completedFuture(
                                        new LatestRecords(end, records));
                            }
                            String last = page.records().get(page.records().size() - 1).key();
                            return readFrom(log, topic, last, records, end);
                        });
    }
}
