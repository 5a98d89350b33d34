package org.fescueloom.log;

import java.util.List;

/**
 * Holds consecutive records of one stream.
 *
 * @param first the lowest offset that has not expired
 * @param next the offset of the next record to be appended
 * @param records the records in the order of their offsets; null is treated as none
 */
public record LogPage(long first, long next, List<LogRecord> records) {
    /** Copies the records. */
    public LogPage {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
