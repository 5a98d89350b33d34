package org.fescueloom.schedule;

/**
 * Estimates a positive factor as a log-normal distribution: by the mean and the variance of its
 * logarithm.
 *
 * <p>Mutable and not thread-safe.
 */
final class LogNormalEstimate {
    private final double initialVariance;

    /** The mean of the logarithm of the factor; 0, which stands for the factor 1, at first. */
    private double mean;

    /** The variance of the logarithm of the factor. */
    private double variance;

    /**
     * Creates an estimate with the value 1.
     *
     * @param initialVariance the variance of the logarithm before the first observation, positive
     */
    LogNormalEstimate(double initialVariance) {
        this.initialVariance = initialVariance;
        this.variance = initialVariance;
    }

    /**
     * Restores a stored estimate.
     *
     * @param value the factor, positive
     * @param storedVariance the variance of its logarithm, positive; limited to the initial
     *     variance
     */
    void restore(double value, double storedVariance) {
        mean = Math.log(value);
        variance = Math.min(initialVariance, storedVariance);
    }

    /**
     * Corrects two estimates by an observation of the product of both factors.
     *
     * <p>The estimate with the larger variance is corrected more.
     *
     * @param first the estimate of one factor, not null
     * @param second the estimate of the other factor, not null
     * @param observed the observed product, positive
     * @param noise the variance of the logarithm of the observation, positive
     */
    static void observeProduct(
            LogNormalEstimate first, LogNormalEstimate second, double observed, double noise) {
        double difference = Math.log(observed) - first.mean - second.mean;
        double totalVariance = first.variance + second.variance + noise;
        first.correct(difference, totalVariance);
        second.correct(difference, totalVariance);
    }

    /**
     * Corrects this estimate by an observation of its factor.
     *
     * @param observed the observed factor, positive
     * @param noise the variance of the logarithm of the observation, positive
     */
    void observe(double observed, double noise) {
        correct(Math.log(observed) - mean, variance + noise);
    }

    /**
     * Moves the mean by the part of the difference that corresponds to the share of this estimate
     * in the total variance, and reduces the variance by the same share.
     */
    private void correct(double difference, double totalVariance) {
        double gain = variance / totalVariance;
        mean += gain * difference;
        variance *= 1 - gain;
    }

    /**
     * Increases the variance, at most to the initial variance.
     *
     * @param added the variance to add, not negative
     */
    void increaseVariance(double added) {
        variance = Math.min(initialVariance, variance + added);
    }

    /**
     * Returns the estimated factor.
     *
     * @return the estimate, positive
     */
    double value() {
        return Math.exp(mean);
    }

    /**
     * Returns an upper bound that the true factor exceeds only with low probability.
     *
     * @param deviations the distance of the bound from the estimate, in standard deviations of the
     *     logarithm
     * @return the bound, positive
     */
    double upperBound(double deviations) {
        return Math.exp(mean + deviations * Math.sqrt(variance));
    }

    /**
     * Returns the uncertainty of the estimate.
     *
     * @return the variance of the logarithm, positive
     */
    double variance() {
        return variance;
    }
}
