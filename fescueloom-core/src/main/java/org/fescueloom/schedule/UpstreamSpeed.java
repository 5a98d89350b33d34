package org.fescueloom.schedule;

/**
 * Is what is kept of the speed of an upstream, so that the next dispatcher need not learn it again.
 *
 * @param slowness its run times over those of a usual upstream, positive
 * @param variance the variance of the logarithm of the slowness, positive
 * @param learnedAtMillis when that was so, in milliseconds since 1970
 */
public record UpstreamSpeed(double slowness, double variance, long learnedAtMillis) {
    /** A tenth; decisions are made in steps of a quarter and more. */
    private static final double MAX_LOG_DIFFERENCE = 0.1;

    /** Half or double. */
    private static final double MAX_LOG_VARIANCE_DIFFERENCE = Math.log(2);

    /** Checks the values. */
    public UpstreamSpeed {
        if (!(slowness > 0) || !(variance > 0)) {
            throw new IllegalArgumentException("slowness and variance must be positive");
        }
    }

    /**
     * Tells whether decisions may differ by this speed and another.
     *
     * @param other the other speed, not null
     * @return whether they differ by a tenth, or by half of the variance
     */
    public boolean differsFrom(UpstreamSpeed other) {
        return Math.abs(Math.log(slowness / other.slowness)) > MAX_LOG_DIFFERENCE
                || Math.abs(Math.log(variance / other.variance)) > MAX_LOG_VARIANCE_DIFFERENCE;
    }
}
