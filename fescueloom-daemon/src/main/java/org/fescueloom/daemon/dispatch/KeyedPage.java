package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Holds a page of the newest records of a keyed log.
 *
 * @param records the records, in the order of the log service, not null
 * @param hasMore whether keys follow the last one of this page
 * @param endOffset the offset at which the log ended when the page was read
 */
public record KeyedPage(List<KeyedRecord> records, boolean hasMore, long endOffset) {
    /** Copies the list. */
    public KeyedPage {
        records = List.copyOf(records);
    }
}
