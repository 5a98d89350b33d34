package org.fescueloom.standins.demo;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits. */
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
     * Waits until something holds.
     *
     * @param limit the longest wait, not null
     * @param condition what is to hold, not null
     * @return whether it held in time
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
