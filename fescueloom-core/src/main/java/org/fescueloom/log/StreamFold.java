package org.fescueloom.log;

/**
 * Folds the records of one stream into a state.
 *
 * <p>Two folds of the same type that were given the same records hold the same state.
 * Implementations need not be thread-safe.
 */
public interface StreamFold {
    /**
     * Returns the offset of the next record to be applied.
     *
     * @return the offset, 0 before the first record
     */
    long nextOffset();

    /**
     * Applies the next record. A record with an offset below {@link #nextOffset()} is ignored.
     *
     * @param record the record, not null; a corrupt record is counted and skipped
     */
    void apply(LogRecord record);

    /**
     * Skips the records below an offset that have expired before they were read.
     *
     * @param first the lowest offset that has not expired
     */
    void skipTo(long first);

    /**
     * Tests whether the state includes every record below {@link #nextOffset()}.
     *
     * @return false after records were skipped, until later records make the state complete again;
     *     a fold without snapshots always returns true
     */
    default boolean isComplete() {
        return true;
    }
}
