package org.fescueloom.log;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Computes exponential delays with full jitter between retries.
 *
 * <p>Each delay is drawn evenly from 1 to a bound that doubles with every failure up to a limit, so
 * that many processes which failed together do not come back together. Used by one thread.
 */
public final class Backoff {
    private final long firstMillis;
    private final long limitMillis;
    private final RandomGenerator random;
    private long boundMillis;

    /**
     * Creates a back-off that has seen no failure.
     *
     * @param firstMillis the bound of the first delay, in milliseconds, at least 1
     * @param limitMillis the greatest bound, in milliseconds, not below the first
     * @param random the source of the jitter, not null
     * @throws IllegalArgumentException if the bounds are out of range
     */
    public Backoff(long firstMillis, long limitMillis, RandomGenerator random) {
        if (firstMillis < 1 || limitMillis < firstMillis) {
            throw new IllegalArgumentException(
                    "bounds out of range: " + firstMillis + ", " + limitMillis);
        }
        this.firstMillis = firstMillis;
        this.limitMillis = limitMillis;
        this.random = Objects.requireNonNull(random, "random");
        this.boundMillis = firstMillis;
    }

    /**
     * Returns the delay before the next retry and doubles the bound.
     *
     * @return the delay in milliseconds, at least 1
     */
    public long nextMillis() {
        long delay = 1 + random.nextLong(boundMillis);
        boundMillis = Math.min(limitMillis, boundMillis * 2);
        return delay;
    }

    /** Forgets the failures; to be called after a success. */
    public void reset() {
        boundMillis = firstMillis;
    }
}
