package org.fescueloom.schedule;

/**
 * Learns how far the estimate of a step is off, from its tasks that have ended.
 *
 * <p>All tasks of a step share the error of its estimate; without it, an upstream that served a
 * step with a low estimate would be taken for slow. Mutable and not thread-safe.
 */
public final class StepEstimateError {
    /** Estimates are seen to be off by a factor of two, and at times of four. */
    private static final double ESTIMATE_VARIANCE = 0.5;

    private final LogNormalEstimate error = new LogNormalEstimate(ESTIMATE_VARIANCE);

    /**
     * Returns how many times the estimate the tasks of the step take at usual speed.
     *
     * @return the factor, positive; 1 where nothing is known
     */
    public double factor() {
        return error.value();
    }

    LogNormalEstimate error() {
        return error;
    }
}
