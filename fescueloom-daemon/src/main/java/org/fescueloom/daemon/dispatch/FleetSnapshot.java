package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Holds the newest record of each key that operators have written, to hand it to another process.
 *
 * @param offset where the log ended; of two copies the one with the higher offset is newer
 * @param records the records, without those that were removed, not null
 */
record FleetSnapshot(long offset, List<KeyedRecord> records) {
    /** What is known before anything was read. */
    static final FleetSnapshot EMPTY = new FleetSnapshot(0, List.of());

    private static final long MAX_OFFSET = 1L << 53;

    /** Copies the list. */
    FleetSnapshot {
        requireOffset(offset);
        records = List.copyOf(records);
    }

    /**
     * Checks an offset in a log that another process has reported.
     *
     * @throws IllegalArgumentException if it is negative or beyond any log
     */
    static void requireOffset(long offset) {
        if (offset < 0 || offset > MAX_OFFSET) {
            throw new IllegalArgumentException("offset is out of range: " + offset);
        }
    }
}
