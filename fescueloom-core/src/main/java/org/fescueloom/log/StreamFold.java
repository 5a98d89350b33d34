package org.fescueloom.log;

/**
 * Folds the records of one stream into state.
 *
 * <p>Two folds that were given the same records hold the same state. A fold is used by one thread.
 */
public interface StreamFold {
    /**
     * Returns the offset of the record that the fold needs next.
     *
     * @return the offset, 0 before the first record
     */
    long nextOffset();

    /**
     * Takes the next record. A record below {@link #nextOffset()} changes nothing.
     *
     * @param record the record, not null; a corrupt one is counted and skipped
     */
    void apply(LogRecord record);

    /**
     * Learns that the records below an offset have expired before they were read.
     *
     * @param first the lowest offset that the stream still keeps
     */
    void skipTo(long first);

    /**
     * Tells whether every record below {@link #nextOffset()} is part of the state.
     *
     * @return false after records were skipped, until later records make up for them; a fold
     *     without snapshots always returns true
     */
    default boolean isComplete() {
        return true;
    }
}
