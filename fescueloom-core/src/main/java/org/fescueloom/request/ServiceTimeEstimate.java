package org.fescueloom.request;

/**
 * Estimates the service time of attempts from the measured times. The mean is an exponential moving
 * average.
 *
 * <p>Not thread-safe.
 */
final class ServiceTimeEstimate {
    /** The weight of the latest service time in the mean. */
    private static final double SMOOTHING = 0.1;

    /** The time without a measurement after which the expected service time is halved. */
    private static final double HALF_LIFE_NANOS = 2e9;

    private double meanNanos;
    private long recordedAtNanos;

    /**
     * Records one measured service time.
     *
     * @param elapsedNanos the time in nanoseconds, not negative
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    void record(long elapsedNanos, long nowNanos) {
        // A mean of 0 stands for no measurement.
        meanNanos =
                meanNanos == 0 ? elapsedNanos : meanNanos + SMOOTHING * (elapsedNanos - meanNanos);
        recordedAtNanos = nowNanos;
    }

    /**
     * Returns the recent mean service time.
     *
     * @return the time in nanoseconds, 0 before the first measurement
     */
    double meanNanos() {
        return meanNanos;
    }

    /**
     * Returns the expected service time. It decays while no time is recorded, so that a service
     * class that was too slow for its deadlines is tried again.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the time in nanoseconds, 0 before the first measurement
     */
    double expectedNanos(long nowNanos) {
        return meanNanos * Math.pow(0.5, (nowNanos - recordedAtNanos) / HALF_LIFE_NANOS);
    }
}
