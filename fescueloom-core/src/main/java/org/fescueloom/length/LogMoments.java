package org.fescueloom.length;

/**
 * Keeps decayed means, variances and the covariance of the logarithms of observed lengths and of
 * the estimates of callers.
 *
 * <p>Deviations are clamped before they are counted, so that the few runs that take many times as
 * long as others inflate neither mean nor variance. Mutable and not thread-safe.
 */
final class LogMoments {
    /** The number of moments in the stored form. */
    static final int STORED = 8;

    /** The deviation beyond which an observation is clamped, in standard deviations. */
    private static final double MAX_DEVIATIONS = 2.5;

    /** The variance that is assumed without evidence. */
    private static final double INITIAL_VARIANCE = 0.5;

    /** The weight of the initial variance in ends. */
    private static final double INITIAL_VARIANCE_WEIGHT = 4;

    /**
     * The weight of the slope of the parent, as number of ends times variance of the logarithm of
     * the estimates. Estimates that vary little say nothing about the slope.
     */
    private static final double SLOPE_WEIGHT = 2;

    /** The weight and the mean of the lengths of ends without an estimate. */
    private double bareWeight;

    private double bareMean;

    /** The weight and the moments of ends with an estimate. */
    private double pairedWeight;

    private double lengthMean;
    private double estimateMean;
    private double estimateVariance;
    private double covariance;

    /** The variance of the lengths around the mean of their group. */
    private double lengthVariance;

    /**
     * Returns the effective number of ends.
     *
     * @return the number, not negative
     */
    double weight() {
        return bareWeight + pairedWeight;
    }

    /**
     * Reduces the weight of the ends so far.
     *
     * @param factor the factor, from 0 to 1
     */
    void decay(double factor) {
        bareWeight *= factor;
        pairedWeight *= factor;
    }

    /**
     * Counts an end without an estimate.
     *
     * @param logLength the logarithm of the length
     */
    void add(double logLength) {
        double deviation = bareWeight == 0 ? 0 : clamp(logLength - bareMean, lengthVariance);
        bareMean = bareWeight == 0 ? logLength : bareMean + deviation / (bareWeight + 1);
        bareWeight++;
        lengthVariance = average(lengthVariance, deviation * deviation, weight());
    }

    /**
     * Counts an end with an estimate.
     *
     * @param logLength the logarithm of the length
     * @param logEstimate the logarithm of the estimate
     */
    void add(double logLength, double logEstimate) {
        if (pairedWeight == 0) {
            lengthMean = logLength;
            estimateMean = logEstimate;
        }
        double length = clamp(logLength - lengthMean, lengthVariance);
        double estimate = clamp(logEstimate - estimateMean, estimateVariance);
        pairedWeight++;
        lengthMean += length / pairedWeight;
        estimateMean += estimate / pairedWeight;
        lengthVariance = average(lengthVariance, length * length, weight());
        estimateVariance = average(estimateVariance, estimate * estimate, pairedWeight);
        covariance = average(covariance, length * estimate, pairedWeight);
    }

    private static double average(double old, double added, double weight) {
        return (1 - 1 / weight) * (old + added / weight);
    }

    private double clamp(double deviation, double variance) {
        double initial = INITIAL_VARIANCE_WEIGHT * INITIAL_VARIANCE;
        double assumed = (weight() * variance + initial) / (weight() + INITIAL_VARIANCE_WEIGHT);
        double bound = MAX_DEVIATIONS * Math.sqrt(assumed);
        return Math.max(-bound, Math.min(bound, deviation));
    }

    /**
     * Returns by how much of the difference between two estimates the lengths are expected to
     * differ.
     *
     * @param parentSlope the value of the parent
     * @return the slope of the regression of length on estimate, from 0 to 1
     */
    double slope(double parentSlope) {
        double slope =
                (pairedWeight * covariance + SLOPE_WEIGHT * parentSlope)
                        / (pairedWeight * estimateVariance + SLOPE_WEIGHT);
        return Math.max(0, Math.min(1, slope));
    }

    /**
     * Returns the sum of the predictions of all ends for a run without an estimate.
     *
     * @return the logarithm of the predicted length, multiplied by {@link #weight()}
     */
    double weightedCentre() {
        return bareWeight * bareMean + pairedWeight * lengthMean;
    }

    /**
     * Returns the sum of the predictions of all ends for a run with an estimate.
     *
     * @param logEstimate the logarithm of the estimate
     * @param slope the slope of the regression of length on estimate
     * @return the logarithm of the predicted length, multiplied by {@link #weight()}
     */
    double weightedCentre(double logEstimate, double slope) {
        return bareWeight * bareMean
                + pairedWeight * (lengthMean + slope * (logEstimate - estimateMean));
    }

    /**
     * Copies the moments.
     *
     * @param weightFactor the decay of the weights since the last end
     * @return {@link #STORED} numbers, never null
     */
    double[] stored(double weightFactor) {
        return new double[] {
            bareWeight * weightFactor,
            bareMean,
            pairedWeight * weightFactor,
            lengthMean,
            estimateMean,
            estimateVariance,
            covariance,
            lengthVariance
        };
    }

    /**
     * Tells whether stored moments can have been observed.
     *
     * @param moments {@link #STORED} numbers, not null
     * @return whether weights and variances are not negative
     */
    static boolean valid(double[] moments) {
        return Math.min(moments[0], moments[2]) >= 0 && Math.min(moments[5], moments[7]) >= 0;
    }

    /**
     * Replaces the moments by stored ones.
     *
     * @param moments what {@link #stored} returned, not null
     */
    void restore(double[] moments) {
        bareWeight = moments[0];
        bareMean = moments[1];
        pairedWeight = moments[2];
        lengthMean = moments[3];
        estimateMean = moments[4];
        estimateVariance = moments[5];
        covariance = moments[6];
        lengthVariance = moments[7];
    }
}
