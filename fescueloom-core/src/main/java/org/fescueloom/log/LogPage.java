package org.fescueloom.log;

import java.util.List;

/**
 * Holds a run of records of one stream.
 *
 * @param first the lowest offset that the stream still keeps
 * @param next the offset that the next appended record will get
 * @param records the records in order of offset; null counts as none
 */
public record LogPage(long first, long next, List<LogRecord> records) {
    /** Copies the records. */
    public LogPage {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
