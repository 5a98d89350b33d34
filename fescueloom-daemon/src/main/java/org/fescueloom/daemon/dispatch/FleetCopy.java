package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Holds the newest record of each key that operators have written, to hand it to another process.
 *
 * @param offset where the log ended; of two copies the one with the higher offset is newer
 * @param records the records, without those that were removed, not null
 */
record FleetCopy(long offset, List<KeyedRecord> records) {
    /** What is known before anything was read. */
    static final FleetCopy EMPTY = new FleetCopy(0, List.of());

    /** Copies the list. */
    FleetCopy {
        records = List.copyOf(records);
    }
}
