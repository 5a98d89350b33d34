package org.fescueloom.standins.log;

import java.util.concurrent.TimeUnit;

/**
 * Limits the rate of appends: assigns each append a time slot, at equal intervals.
 *
 * <p>Safe for use by several threads.
 */
final class AppendLimiter {
    private final long intervalNanos;

    /** The start of the next free slot; the initial value lies before every current time. */
    private long nextFreeNanos = Long.MIN_VALUE;

    /**
     * Creates a limiter.
     *
     * @param appendsPerSecond the largest number of appends per second, at least 1
     */
    AppendLimiter(int appendsPerSecond) {
        intervalNanos = TimeUnit.SECONDS.toNanos(1L) / appendsPerSecond;
    }

    /**
     * Reserves the next free slot.
     *
     * @param nowNanos the current time of the monotonic clock, in nanoseconds
     * @return the time until the start of the slot, in microseconds; 0 if the slot starts now
     */
    synchronized long reserve(long nowNanos) {
        long slotNanos = Math.max(nextFreeNanos, nowNanos);
        nextFreeNanos = slotNanos + intervalNanos;
        return TimeUnit.NANOSECONDS.toMicros(slotNanos - nowNanos);
    }
}
