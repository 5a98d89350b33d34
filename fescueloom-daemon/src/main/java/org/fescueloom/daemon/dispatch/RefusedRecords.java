package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the record because of which the log service refuses batches for good. Batches are halved
 * until a refused batch has one record. That record is given up if another batch was stored since
 * its first refusal, so that a log service that refuses everything for a while costs no record.
 */
final class RefusedRecords {
    private int maxBatchRecords = Integer.MAX_VALUE;
    private long storedBatches;

    /** By key of a refused record, the number of batches stored until its first refusal. */
    private final Map<String, Long> storedBeforeRefusal = new HashMap<>();

    /** Returns the maximum number of records of the next batch. */
    int maxBatchRecords() {
        return maxBatchRecords;
    }

    /** Records that a batch was stored. */
    void onStored(List<KeyedRecord> records) {
        storedBatches++;
        maxBatchRecords =
                maxBatchRecords > Integer.MAX_VALUE / 2 ? Integer.MAX_VALUE : 2 * maxBatchRecords;
        records.forEach(r -> storedBeforeRefusal.remove(r.key()));
    }

    /** Records that a batch was refused, and returns whether its only record is given up. */
    boolean onRefused(List<KeyedRecord> records) {
        maxBatchRecords = Math.max(1, records.size() / 2);
        records.forEach(r -> storedBeforeRefusal.putIfAbsent(r.key(), storedBatches));
        String key = records.get(0).key();
        boolean givenUp = records.size() == 1 && storedBatches > storedBeforeRefusal.get(key);
        if (givenUp) {
            storedBeforeRefusal.remove(key);
        }
        return givenUp;
    }
}
