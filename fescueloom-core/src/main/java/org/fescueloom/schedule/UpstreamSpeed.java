package org.fescueloom.schedule;

/**
 * Holds the stored form of an upstream's speed, so that the next dispatcher does not need to learn
 * the speed again.
 *
 * @param slowness the run times on the upstream divided by those on an average upstream, positive
 * @param variance the variance of the logarithm of the slowness, positive
 * @param learnedAtMillis the time at which these values were current, in milliseconds since 1970
 */
public record UpstreamSpeed(double slowness, double variance, long learnedAtMillis) {
    /**
     * The largest difference of the logarithm of the slowness that changes no decision: a tenth, as
     * the scheduler distinguishes slowness in steps of a quarter or more.
     */
    private static final double MAX_LOG_DIFFERENCE = 0.1;

    /**
     * The largest difference of the logarithm of the variance that changes no decision: half or
     * double the variance.
     */
    private static final double MAX_LOG_VARIANCE_DIFFERENCE = Math.log(2);

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the slowness or the variance is not positive
     */
    public UpstreamSpeed {
        if (!(slowness > 0) || !(variance > 0)) {
            throw new IllegalArgumentException(
                    "slowness and variance must be positive, but are "
                            + slowness
                            + " and "
                            + variance);
        }
    }

    /**
     * Tells whether this speed and another may lead to different decisions.
     *
     * @param other the other speed, not null
     * @return whether the slowness differs by more than a tenth, or one variance is more than
     *     double the other
     */
    public boolean differsFrom(UpstreamSpeed other) {
        return Math.abs(Math.log(slowness / other.slowness)) > MAX_LOG_DIFFERENCE
                || Math.abs(Math.log(variance / other.variance)) > MAX_LOG_VARIANCE_DIFFERENCE;
    }
}
