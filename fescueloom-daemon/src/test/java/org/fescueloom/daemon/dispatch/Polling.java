package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits in tests until a condition holds. */
final class Polling {
    private static final long POLL_MILLIS = 5;

    private Polling() {}

    /** Waits until a condition holds; fails after the given number of seconds. */
    static void await(BooleanSupplier condition, long seconds) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime()).as("condition must hold in time").isLessThan(end);
            Thread.sleep(POLL_MILLIS);
        }
    }
}
