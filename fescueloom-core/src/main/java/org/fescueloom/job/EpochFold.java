package org.fescueloom.job;

import java.util.Optional;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.StreamFold;

/**
 * Folds the {@code epochs} stream: the last claim is in force, and its offset is the epoch.
 *
 * <p>A record below the next expected offset and a repeat of the last claim's record change
 * nothing. Thread-safe.
 */
public final class EpochFold implements StreamFold {
    private long next;
    private long epoch = -1L;
    private String lastRecordId;
    private EpochClaim claim;
    private long unreadableRecords;

    /** Creates a fold without a claim. */
    public EpochFold() {}

    @Override
    public synchronized long nextOffset() {
        return next;
    }

    @Override
    public synchronized void skipTo(long first) {
        next = Math.max(next, first);
    }

    @Override
    public synchronized void apply(LogRecord record) {
        if (record.offset() < next) {
            return;
        }
        next = record.offset() + 1;
        if (record.id().equals(lastRecordId)) {
            return;
        }
        Optional<EpochClaim> read = read(record);
        if (read.isEmpty()) {
            unreadableRecords++;
            return;
        }
        lastRecordId = record.id();
        claim = read.get();
        epoch = record.offset();
    }

    /**
     * Returns the claim that is in force.
     *
     * @return the claim, or empty before the first claim
     */
    public synchronized Optional<EpochClaim> claim() {
        return Optional.ofNullable(claim);
    }

    /**
     * Returns the epoch of the claim that is in force.
     *
     * @return the offset of the claim's record; -1 before the first claim
     */
    public synchronized long epoch() {
        return epoch;
    }

    /**
     * Returns the number of records that could not be read.
     *
     * @return the number, at least 0
     */
    public synchronized long unreadableRecords() {
        return unreadableRecords;
    }

    private static Optional<EpochClaim> read(LogRecord record) {
        try {
            EpochClaim claim = Json.convert(record.payload(), EpochClaim.class);
            boolean knownVersion = claim.version() >= 1 && claim.version() <= EpochClaim.VERSION;
            return knownVersion ? Optional.of(claim) : Optional.empty();
        } catch (SchedulerException e) {
            return Optional.empty();
        }
    }
}
