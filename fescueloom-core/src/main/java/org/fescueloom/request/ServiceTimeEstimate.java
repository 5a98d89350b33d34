package org.fescueloom.request;

/**
 * Follows the service time of attempts of one kind.
 *
 * <p>Not safe for use by several threads at once.
 */
final class ServiceTimeEstimate {
    private static final double SMOOTHING = 0.1;
    private static final double HALF_LIFE_NANOS = 2e9;

    private double meanNanos;
    private long recordedAtNanos;

    /**
     * Takes in one service time.
     *
     * @param elapsedNanos the time in nanoseconds, not negative
     * @param nowNanos the time now
     */
    void record(long elapsedNanos, long nowNanos) {
        meanNanos =
                meanNanos == 0 ? elapsedNanos : meanNanos + SMOOTHING * (elapsedNanos - meanNanos);
        recordedAtNanos = nowNanos;
    }

    /**
     * Returns the recent mean.
     *
     * @return the time in nanoseconds, 0 before the first record
     */
    double meanNanos() {
        return meanNanos;
    }

    /**
     * Returns the service time to expect; it shrinks while nothing is recorded, so that a class
     * which was too slow for its deadlines is tried again.
     *
     * @param nowNanos the time now
     * @return the time in nanoseconds, 0 before the first record
     */
    double expectedNanos(long nowNanos) {
        return meanNanos * Math.pow(0.5, (nowNanos - recordedAtNanos) / HALF_LIFE_NANOS);
    }
}
