package org.fescueloom.length;

/**
 * Describes a run by the logarithms of its length and its estimate.
 *
 * @param logLength the logarithm of the length in milliseconds; of the age, if it has not ended
 * @param hasEstimate whether the caller gave an estimate
 * @param logEstimate the logarithm of the estimate in milliseconds; 0 without one
 */
record Observation(double logLength, boolean hasEstimate, double logEstimate) {
    /** The limits of lengths and estimates: 1 ms to 24 h. */
    private static final double MIN_MILLIS = 1;

    private static final double MAX_MILLIS = 24 * 3_600_000.0;

    /**
     * Creates the description of a run.
     *
     * @param estimateMillis the estimate of the caller; 0 if there is none
     * @param lengthMillis the length of the run
     * @return the description with values limited to 1 ms to 24 h, never null
     * @throws IllegalArgumentException if a value is negative or not a number
     */
    static Observation of(long estimateMillis, double lengthMillis) {
        if (estimateMillis < 0 || !(lengthMillis >= 0)) {
            throw new IllegalArgumentException(
                    "times must not be negative: " + estimateMillis + ", " + lengthMillis);
        }
        boolean hasEstimate = estimateMillis > 0;
        return new Observation(
                Math.log(limited(lengthMillis)),
                hasEstimate,
                hasEstimate ? Math.log(limited(estimateMillis)) : 0);
    }

    private static double limited(double millis) {
        return Math.max(MIN_MILLIS, Math.min(MAX_MILLIS, millis));
    }
}
