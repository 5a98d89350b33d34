package org.fescueloom.length;

import java.util.Objects;

/**
 * Describes what was learned about a kind, for the stored form.
 *
 * @param moments the moments of {@link LogMoments}, not null
 * @param deviationVariance the variance of the deviations from the forecast
 * @param drift the moving average of the deviations
 * @param weights the weight of each of the {@link RatioBins}, not null
 */
record KindState(double[] moments, double deviationVariance, double drift, double[] weights) {
    KindState {
        Objects.requireNonNull(moments, "moments");
        Objects.requireNonNull(weights, "weights");
    }
}
