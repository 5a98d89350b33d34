package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Holds consecutive records of a keyed log.
 *
 * @param records the records from the requested offset on, not null
 * @param endOffset the offset at which the log ended
 * @param expired whether the log service has compacted the records at the requested offset; the
 *     list of records is then empty
 */
public record KeyedSlice(List<KeyedRecord> records, long endOffset, boolean expired) {
    /** Copies the list. */
    public KeyedSlice {
        records = List.copyOf(records);
    }
}
