package org.fescueloom.daemon.cluster;

import java.util.concurrent.TimeUnit;

/** Reads the clocks of the process. */
public final class Clocks {
    private Clocks() {}

    /**
     * Returns the time of the monotonic clock, which no adjustment of the date moves.
     *
     * @return the time in milliseconds; only differences have a meaning
     */
    public static long monotonicMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
