package org.fescueloom.standins.log;

import java.util.concurrent.TimeUnit;

/** Spaces appends so that no more than a number of them happen in a second. */
final class AppendLimiter {
    private final long intervalNanos;
    private long free = Long.MIN_VALUE;

    /**
     * Creates a limiter.
     *
     * @param perSecond how many appends a second, at least 1
     */
    AppendLimiter(int perSecond) {
        intervalNanos = TimeUnit.SECONDS.toNanos(1L) / perSecond;
    }

    /**
     * Reserves the next place.
     *
     * @param nowNanos the time now, in nanoseconds
     * @return how long to wait for the place, in microseconds
     */
    synchronized long reserve(long nowNanos) {
        long start = Math.max(free, nowNanos);
        free = start + intervalNanos;
        return TimeUnit.NANOSECONDS.toMicros(start - nowNanos);
    }
}
