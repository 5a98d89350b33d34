package org.fescueloom.daemon.cluster;

import java.util.concurrent.TimeUnit;

/** Reads the monotonic clock of the process. */
public final class Clocks {
    private Clocks() {}

    /**
     * Returns the time of the monotonic clock, which adjustments of the wall clock do not affect.
     *
     * @return the time in milliseconds; only the difference between two values has a meaning
     */
    public static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
