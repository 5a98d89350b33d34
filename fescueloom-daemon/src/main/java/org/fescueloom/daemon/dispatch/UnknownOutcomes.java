package org.fescueloom.daemon.dispatch;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Remembers the keys of appends with unknown outcome, for as long as the log service may still
 * execute them. Confined to the event loop of its owner.
 */
final class UnknownOutcomes {
    /** The log service may execute an append seconds after its caller has stopped waiting. */
    private static final long MAX_APPEND_DELAY_MILLIS = 30_000;

    /** Limits the number of remembered keys. */
    private static final int MAX_KEYS = 10_000;

    private final LongSupplier clock;

    /** The monotonic time at which the outcome was last found to be unknown; oldest first. */
    private final Map<String, Long> sinceByKey = new LinkedHashMap<>();

    /**
     * Creates an empty instance.
     *
     * @param clock provides the monotonic time, in milliseconds
     */
    UnknownOutcomes(LongSupplier clock) {
        this.clock = clock;
    }

    /** Tests whether an earlier append of a key may still be executed. */
    boolean contains(String key) {
        Long since = sinceByKey.get(key);
        return since != null && clock.getAsLong() - since < MAX_APPEND_DELAY_MILLIS;
    }

    /** Remembers a key, whose operation has ended now. */
    void add(String key) {
        long now = clock.getAsLong();
        // Removing the key first keeps the keys in the order of their times, oldest first.
        sinceByKey.remove(key);
        sinceByKey.put(key, now);
        Iterator<Long> oldest = sinceByKey.values().iterator();
        while (sinceByKey.size() > MAX_KEYS
                || oldest.hasNext() && now - oldest.next() >= MAX_APPEND_DELAY_MILLIS) {
            sinceByKey.remove(sinceByKey.keySet().iterator().next());
            oldest = sinceByKey.values().iterator();
        }
    }

    /** Forgets a key, whose record is stored. */
    void remove(String key) {
        sinceByKey.remove(key);
    }
}
