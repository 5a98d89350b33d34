package org.fescueloom.length;

/**
 * Counts how often runs ended by the predicted quantiles. Only ends that were predicted with
 * evidence are counted.
 *
 * @param predictedEnds the number of ends that were predicted
 * @param endsByHalf the number of ends by the 0.5 quantile, at most {@code predictedEnds}
 * @param endsByNineTenths the number of ends by the 0.9 quantile, at most {@code predictedEnds}
 */
public record Calibration(long predictedEnds, long endsByHalf, long endsByNineTenths) {
    /** No ends. */
    public static final Calibration NONE = new Calibration(0, 0, 0);

    /** The lower probability whose quantile is checked. */
    private static final double HALF = 0.5;

    /** The higher probability whose quantile is checked. */
    private static final double NINE_TENTHS = 0.9;

    /**
     * Checks the counts.
     *
     * @throws IllegalArgumentException if a count is negative or larger than the number of ends
     */
    public Calibration {
        if (Math.min(endsByHalf, endsByNineTenths) < 0
                || Math.max(endsByHalf, endsByNineTenths) > predictedEnds) {
            throw new IllegalArgumentException("counts must be from 0 to " + predictedEnds);
        }
    }

    /**
     * Adds an end.
     *
     * @param forecast the forecast that was made without knowledge of the end, not null
     * @param lengthMillis the length of the run
     * @return the new counts, never null
     */
    Calibration with(RunLengthForecast forecast, double lengthMillis) {
        return new Calibration(
                predictedEnds + 1,
                endsByHalf + (lengthMillis <= forecast.quantileMillis(HALF) ? 1 : 0),
                endsByNineTenths + (lengthMillis <= forecast.quantileMillis(NINE_TENTHS) ? 1 : 0));
    }

    /**
     * Returns the share of the ends by the 0.5 quantile.
     *
     * @return the share, from 0 to 1; 0 without ends
     */
    public double shareByHalf() {
        return predictedEnds == 0 ? 0 : (double) endsByHalf / predictedEnds;
    }

    /**
     * Returns the share of the ends by the 0.9 quantile.
     *
     * @return the share, from 0 to 1; 0 without ends
     */
    public double shareByNineTenths() {
        return predictedEnds == 0 ? 0 : (double) endsByNineTenths / predictedEnds;
    }
}
