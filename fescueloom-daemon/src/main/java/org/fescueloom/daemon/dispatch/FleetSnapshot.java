package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Holds the newest record of each key of the operator log, to be passed to another process.
 *
 * @param offset the offset at which the log ended; of two snapshots, the one with the higher offset
 *     is newer
 * @param records the records without tombstones, not null
 */
record FleetSnapshot(long offset, List<KeyedRecord> records) {
    /** The snapshot of a process that has read nothing. */
    static final FleetSnapshot EMPTY = new FleetSnapshot(0, List.of());

    /** Maximum offset that is accepted from another process; greater than any log can reach. */
    private static final long MAX_OFFSET = 1L << 53;

    /** Copies the list. */
    FleetSnapshot {
        requireOffset(offset);
        records = List.copyOf(records);
    }

    /**
     * Checks an offset that another process has reported.
     *
     * @param offset the offset
     * @throws IllegalArgumentException if the offset is negative or greater than any log can reach
     */
    static void requireOffset(long offset) {
        if (offset < 0 || offset > MAX_OFFSET) {
            throw new IllegalArgumentException(
                    "offset must be between 0 and " + MAX_OFFSET + ": " + offset);
        }
    }
}
