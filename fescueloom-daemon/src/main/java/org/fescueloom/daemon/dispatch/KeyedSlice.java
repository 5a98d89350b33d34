package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Holds consecutive records of a keyed log.
 *
 * @param records the records from the offset that was asked for, not null
 * @param endOffset where the log ended
 * @param expired whether the offset that was asked for is no longer kept; there are no records then
 */
public record KeyedSlice(List<KeyedRecord> records, long endOffset, boolean expired) {
    /** Copies the list. */
    public KeyedSlice {
        records = List.copyOf(records);
    }
}
