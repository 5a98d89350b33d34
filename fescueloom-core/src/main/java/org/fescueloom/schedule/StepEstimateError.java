package org.fescueloom.schedule;

/**
 * Learns the estimate error of a step from its tasks that have ended. The error is the run time at
 * average speed divided by the estimate.
 *
 * <p>All tasks of a step share this error. If it were ignored, an upstream that ran a step with a
 * low estimate would be classified as slow. Mutable and not thread-safe.
 */
public final class StepEstimateError {
    /**
     * The variance of the logarithm of the error before the first task has ended: observed
     * estimates are off by a factor of two, and at times by a factor of four.
     */
    private static final double ESTIMATE_VARIANCE = 0.5;

    private final LogNormalEstimate error = new LogNormalEstimate(ESTIMATE_VARIANCE);

    /**
     * Returns the run time of the step's tasks at average speed, divided by the estimate.
     *
     * @return the factor, positive; 1 if no task has ended
     */
    public double factor() {
        return error.value();
    }

    LogNormalEstimate error() {
        return error;
    }
}
