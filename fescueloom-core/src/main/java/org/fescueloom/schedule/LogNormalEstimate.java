package org.fescueloom.schedule;

/**
 * Estimates a positive factor by the mean and the variance of its logarithm.
 *
 * <p>Mutable and not thread-safe.
 */
final class LogNormalEstimate {
    private final double initialVariance;
    private double mean;
    private double variance;

    /**
     * Creates an estimate of 1.
     *
     * @param initialVariance the variance of the logarithm before anything is known, positive
     */
    LogNormalEstimate(double initialVariance) {
        this.initialVariance = initialVariance;
        this.variance = initialVariance;
    }

    /**
     * Takes up an estimate that was kept.
     *
     * @param value the factor, positive
     * @param keptVariance the variance of its logarithm, positive
     */
    void restore(double value, double storedVariance) {
        mean = Math.log(value);
        variance = Math.min(initialVariance, storedVariance);
    }

    /**
     * Corrects two estimates by an observation of their product.
     *
     * <p>The one that is less certain takes the larger part of the difference.
     *
     * @param first one factor, not null
     * @param second the other factor, not null
     * @param observed the observed product, positive
     * @param noise the variance of the logarithm of the observation, positive
     */
    static void observeProduct(
            LogNormalEstimate first, LogNormalEstimate second, double observed, double noise) {
        double difference = Math.log(observed) - first.mean - second.mean;
        double total = first.variance + second.variance + noise;
        first.correct(difference, total);
        second.correct(difference, total);
    }

    private void correct(double difference, double total) {
        double gain = variance / total;
        mean += gain * difference;
        variance *= 1 - gain;
    }

    /**
     * Loses certainty, at most back to where it began.
     *
     * @param added the variance to add, not negative
     */
    void increaseVariance(double added) {
        variance = Math.min(initialVariance, variance + added);
    }

    /**
     * Returns the factor.
     *
     * @return the estimate, positive
     */
    double value() {
        return Math.exp(mean);
    }

    /**
     * Returns a factor that the true one seldom exceeds.
     *
     * @param deviations how many standard deviations it lies above the estimate
     * @return the bound, positive
     */
    double upperBound(double deviations) {
        return Math.exp(mean + deviations * Math.sqrt(variance));
    }

    /**
     * Returns how uncertain the estimate is.
     *
     * @return the variance of the logarithm, positive
     */
    double variance() {
        return variance;
    }
}
