package org.fescueloom.length;

/**
 * Divides the ratios of observed to predicted length into bins of equal width in the logarithm.
 * Within a bin, the logarithm of the ratio is taken as uniformly distributed.
 */
final class RatioBins {
    /** The number of bins. */
    static final int COUNT = 64;

    /** The width of a bin in the natural logarithm of the ratio. */
    private static final double WIDTH = 0.1;

    /** The logarithm of the lowest ratio, 1/25; the highest ratio is 25. */
    private static final double LOWEST = -COUNT / 2 * WIDTH;

    /** The variance of the logarithm of the ratio that is assumed without evidence. */
    private static final double PRIOR_VARIANCE = 0.5;

    /** The share of each bin in the distribution that is assumed without evidence. */
    private static final double[] PRIOR = prior();

    /** The mean ratio in each bin. */
    private static final double[] MEANS = means();

    private RatioBins() {}

    private static double[] prior() {
        double[] shares = new double[COUNT];
        double total = 0;
        for (int i = 0; i < COUNT; i++) {
            double middle = logOf(i + 0.5);
            shares[i] = Math.exp(-middle * middle / (2 * PRIOR_VARIANCE));
            total += shares[i];
        }
        for (int i = 0; i < COUNT; i++) {
            shares[i] /= total;
        }
        return shares;
    }

    private static double[] means() {
        double[] means = new double[COUNT];
        for (int i = 0; i < COUNT; i++) {
            means[i] = (Math.exp(logOf(i + 1)) - Math.exp(logOf(i))) / WIDTH;
        }
        return means;
    }

    /**
     * Returns the position of a ratio on the scale of the bins.
     *
     * @param logRatio the logarithm of the ratio
     * @return the position: the integer part is the index of the bin, the rest the part of the bin
     *     below the ratio; from 0 to {@link #COUNT}
     */
    static double positionOf(double logRatio) {
        return Math.max(0, Math.min(COUNT, (logRatio - LOWEST) / WIDTH));
    }

    /**
     * Returns the index of the bin at a position.
     *
     * @param position the position, from 0 to {@link #COUNT}
     * @return the index, from 0 to {@code COUNT - 1}
     */
    static int binAt(double position) {
        return Math.min(COUNT - 1, (int) position);
    }

    /**
     * Returns the logarithm of the ratio at a position.
     *
     * @param position the position, from 0 to {@link #COUNT}
     * @return the logarithm of the ratio
     */
    static double logOf(double position) {
        return LOWEST + position * WIDTH;
    }

    /**
     * Returns the mean ratio in a bin.
     *
     * @param bin the index of the bin
     * @return the mean, positive
     */
    static double meanOf(int bin) {
        return MEANS[bin];
    }

    /**
     * Copies the distribution that is assumed without evidence.
     *
     * @param shares receives the share of each bin; not null, of length {@link #COUNT}
     */
    static void copyPrior(double[] shares) {
        System.arraycopy(PRIOR, 0, shares, 0, COUNT);
    }

    /**
     * Returns the share of a distribution that is above a position.
     *
     * @param shares the share of each bin, not null
     * @param position the position, from 0 to {@link #COUNT}
     * @return the share, from 0 to about 1
     */
    static double shareAbove(double[] shares, double position) {
        int bin = binAt(position);
        double above = shares[bin] * (bin + 1 - position);
        for (int i = bin + 1; i < COUNT; i++) {
            above += shares[i];
        }
        return above;
    }
}
