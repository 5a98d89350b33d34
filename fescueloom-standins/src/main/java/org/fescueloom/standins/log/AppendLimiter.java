package org.fescueloom.standins.log;

import java.util.concurrent.TimeUnit;

/** Spaces appends so that no more than a number of them happen in a second. */
final class AppendLimiter {
    private final long intervalNanos;
    private long nextFreeNanos = Long.MIN_VALUE;

    /**
     * Creates a limiter.
     *
     * @param perSecond how many appends a second, at least 1
     */
    AppendLimiter(int appendsPerSecond) {
        intervalNanos = TimeUnit.SECONDS.toNanos(1L) / appendsPerSecond;
    }

    /**
     * Reserves the next place.
     *
     * @param nowNanos the time now, in nanoseconds
     * @return how long to wait for the place, in microseconds
     */
    synchronized long reserve(long nowNanos) {
        long slotNanos = Math.max(nextFreeNanos, nowNanos);
        nextFreeNanos = slotNanos + intervalNanos;
        return TimeUnit.NANOSECONDS.toMicros(slotNanos - nowNanos);
    }
}
