package org.fescueloom.standins.demo;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for a fixed time or for a condition. */
final class Pause {
    private static final long POLL_MILLIS = 100;

    private Pause() {}

    static void millis(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new DemoException("interrupted");
        }
    }

    /**
     * Waits until a condition holds.
     *
     * @param limit the longest time to wait, not null
     * @param condition the condition, not null
     * @return true if the condition held in time
     */
    static boolean until(Duration limit, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + limit.toNanos();
        while (System.nanoTime() < endNanos) {
            if (condition.getAsBoolean()) {
                return true;
            }
            millis(POLL_MILLIS);
        }
        return condition.getAsBoolean();
    }
}
