package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Holds the newest record of each key of a log.
 *
 * @param offset records from here on may be missing
 * @param records the records, in the order of the log service, not null
 */
record KeyedContent(long offset, List<KeyedRecord> records) {
    /** Copies the list. */
    KeyedContent {
        records = List.copyOf(records);
    }

    /** Reads all pages of a log. */
    static CompletableFuture<KeyedContent> read(KeyedLog log, String topic) {
        return readFrom(log, topic, "", new ArrayList<>(), -1);
    }

    private static CompletableFuture<KeyedContent> readFrom(
            KeyedLog log, String topic, String afterKey, List<KeyedRecord> records, long firstEnd) {
        return log.newest(topic, afterKey)
                .thenCompose(
                        page -> {
                            records.addAll(page.records());
                            // Pages are no snapshot: reading goes on from where the first one was.
                            long end = firstEnd < 0 ? page.endOffset() : firstEnd;
                            if (!page.more() || page.records().isEmpty()) {
                                return CompletableFuture.completedFuture(
                                        new KeyedContent(end, records));
                            }
                            String last = page.records().get(page.records().size() - 1).key();
                            return readFrom(log, topic, last, records, end);
                        });
    }
}
