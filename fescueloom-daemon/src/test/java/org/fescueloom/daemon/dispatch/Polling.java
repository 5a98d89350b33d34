package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in tests until something holds. */
final class Polling {
    private static final long POLL_MILLIS = 5;

    private Polling() {}

    /** Waits for a condition; fails once the time is over. */
    static void await(BooleanSupplier condition, long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition in time").isLessThan(end);
            Thread.sleep(POLL_MILLIS);
        }
    }
}
