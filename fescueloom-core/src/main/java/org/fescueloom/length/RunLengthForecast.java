package org.fescueloom.length;

/**
 * Predicts the length of a run on an average upstream, and the remaining time of a run of some age.
 *
 * <p>Immutable.
 */
public final class RunLengthForecast {
    /**
     * The quantile beyond which remaining times are read from a power law. Few ends lie beyond it,
     * so that a histogram would be governed by chance there.
     */
    private static final double TAIL_PROBABILITY = 0.95;

    /** The highest probability for which a quantile is given. */
    private static final double MAX_PROBABILITY = 0.9999;

    /**
     * The limits of the exponent of the power law. With the lowest one, the mean remaining time is
     * twice the age; the mean would be infinite at an exponent of 1.
     */
    private static final double MIN_EXPONENT = 1.5;

    private static final double MAX_EXPONENT = 20;

    private final double centreMillis;
    private final double[] shares;
    private final double evidence;
    private final double tailPosition;

    /**
     * Creates a forecast.
     *
     * @param logCentre the logarithm of the predicted length in milliseconds
     * @param shares the share of each of the {@link RatioBins} around it, with a sum of 1; not null
     *     and not changed later
     * @param evidence the effective number of ends of the queue, not negative
     */
    RunLengthForecast(double logCentre, double[] shares, double evidence) {
        this.centreMillis = Math.exp(logCentre);
        this.shares = shares;
        this.evidence = evidence;
        this.tailPosition = positionAt(1 - TAIL_PROBABILITY);
    }

    /**
     * Returns a quantile of the length.
     *
     * @param probability the probability that the run has ended by then, from 0 to 1; values above
     *     0.9999 are taken as 0.9999
     * @return the time from the start in milliseconds, positive
     * @throws IllegalArgumentException if the probability is outside its range
     */
    public double quantileMillis(double probability) {
        return millisAt(positionAt(1 - checked(probability)));
    }

    /**
     * Returns the mean of the length.
     *
     * @return the mean in milliseconds, positive
     */
    public double meanMillis() {
        return centreMillis * meanAbove(0);
    }

    /**
     * Returns a quantile of the remaining time of a run.
     *
     * @param elapsedMillis the time that the run has run, not negative
     * @param probability the probability that the run has ended by then, from 0 to 1; values above
     *     0.9999 are taken as 0.9999
     * @return the time from now in milliseconds, not negative
     * @throws IllegalArgumentException if an argument is outside its range
     */
    public double remainingMillis(double elapsedMillis, double probability) {
        double survival = 1 - checked(probability);
        double position = positionOf(elapsedMillis);
        if (position >= tailPosition) {
            return elapsedMillis * (Math.pow(survival, -1 / tailExponent()) - 1);
        }
        double above = RatioBins.shareAbove(shares, position);
        return Math.max(0, millisAt(positionAt(above * survival)) - elapsedMillis);
    }

    /**
     * Returns the mean of the remaining time of a run.
     *
     * @param elapsedMillis the time that the run has run, not negative
     * @return the mean in milliseconds, not negative; it grows with the age of a run that is older
     *     than the 0.95 quantile
     * @throws IllegalArgumentException if the time is negative
     */
    public double meanRemainingMillis(double elapsedMillis) {
        double position = positionOf(elapsedMillis);
        if (position >= tailPosition) {
            return elapsedMillis / (tailExponent() - 1);
        }
        double above = RatioBins.shareAbove(shares, position);
        return Math.max(0, centreMillis * meanAbove(position) / above - elapsedMillis);
    }

    /**
     * Returns the effective number of ends of the queue: ends count less the older they are.
     *
     * @return the number; below {@link RunLengthModel#MIN_EVIDENCE} the forecast is made without
     *     evidence, and the caller decides as without a forecast
     */
    public double evidence() {
        return evidence;
    }

    private static double checked(double probability) {
        if (!(probability >= 0 && probability <= 1)) {
            throw new IllegalArgumentException("probability must be from 0 to 1: " + probability);
        }
        return Math.min(MAX_PROBABILITY, probability);
    }

    private double positionOf(double elapsedMillis) {
        if (!(elapsedMillis >= 0)) {
            throw new IllegalArgumentException(
                    "elapsedMillis must not be negative: " + elapsedMillis);
        }
        return RatioBins.positionOf(Math.log(elapsedMillis / centreMillis));
    }

    private double millisAt(double position) {
        return centreMillis * Math.exp(RatioBins.logOf(position));
    }

    /** Returns the position above which the given share of the distribution lies. */
    private double positionAt(double shareAbove) {
        double above = 0;
        for (int i = RatioBins.COUNT - 1; i >= 0; i--) {
            double next = above + shares[i];
            if (next >= shareAbove && shares[i] > 0) {
                return i + 1 - (shareAbove - above) / shares[i];
            }
            above = next;
        }
        return 0;
    }

    /** Returns the sum of the ratios above a position, each weighted with its share. */
    private double meanAbove(double position) {
        int bin = RatioBins.binAt(position);
        double edge = Math.exp(RatioBins.logOf(bin + 1));
        double start = Math.exp(RatioBins.logOf(position));
        double width = RatioBins.logOf(bin + 1) - RatioBins.logOf(bin);
        double sum = shares[bin] * (edge - start) / width;
        for (int i = bin + 1; i < RatioBins.COUNT; i++) {
            sum += shares[i] * RatioBins.meanOf(i);
        }
        return sum;
    }

    /**
     * Returns the exponent of the power law of the tail: the reciprocal of the mean logarithmic
     * excess over the start of the tail (Hill's estimator).
     */
    private double tailExponent() {
        int bin = RatioBins.binAt(tailPosition);
        double start = RatioBins.logOf(tailPosition);
        double part = bin + 1 - tailPosition;
        double mass = shares[bin] * part;
        double excess = mass * (RatioBins.logOf(bin + 1) - start) / 2;
        for (int i = bin + 1; i < RatioBins.COUNT; i++) {
            mass += shares[i];
            excess += shares[i] * (RatioBins.logOf(i + 0.5) - start);
        }
        return excess <= 0
                ? MAX_EXPONENT
                : Math.max(MIN_EXPONENT, Math.min(MAX_EXPONENT, mass / excess));
    }
}
