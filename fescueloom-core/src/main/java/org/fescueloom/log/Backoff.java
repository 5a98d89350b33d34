package org.fescueloom.log;

import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Computes exponential delays with full jitter between retries.
 *
 * <p>Each delay is drawn uniformly from 1 to a bound that doubles with every failure up to a limit,
 * so that processes that failed at the same time do not all retry at the same time. Not
 * thread-safe.
 */
public final class Backoff {
    private final long firstMillis;
    private final long limitMillis;
    private final RandomGenerator random;
    private long boundMillis;

    /**
     * Creates a backoff without failures.
     *
     * @param firstMillis the bound of the first delay, in milliseconds, at least 1
     * @param limitMillis the maximum bound, in milliseconds, not less than {@code firstMillis}
     * @param random the source of random numbers for the jitter, not null
     * @throws IllegalArgumentException if the bounds are out of range
     */
    public Backoff(long firstMillis, long limitMillis, RandomGenerator random) {
        if (firstMillis < 1 || limitMillis < firstMillis) {
            throw new IllegalArgumentException(
                    "must be 1 <= firstMillis <= limitMillis: " + firstMillis + ", " + limitMillis);
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

    /** Resets the bound to its first value. To be called after a success. */
    public void reset() {
        boundMillis = firstMillis;
    }
}
