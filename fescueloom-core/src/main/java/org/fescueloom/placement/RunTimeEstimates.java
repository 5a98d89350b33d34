package org.fescueloom.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects declared run times by the actual run times of the same customer and service class.
 *
 * <p>The correction is an exponential moving average of the logarithm of the ratio of actual to
 * declared run time. Not thread-safe.
 */
public final class RunTimeEstimates {
    /** The weight of the newest observation in the moving average. */
    private static final double WEIGHT_OF_NEWEST = 0.2;

    /** The maximum ratio, in either direction, of actual to declared run time that is recorded. */
    private static final double MAX_FACTOR = 20.0;

    private final Map<Key, Double> logFactors = new HashMap<>();

    /** Creates estimates without observations, which leave declared run times as they are. */
    public RunTimeEstimates() {}

    /**
     * Records the actual run time of a complete run.
     *
     * @param customer the customer, not null
     * @param serviceClass the service class, not null
     * @param declaredMillis the declared run time, in milliseconds; nothing is recorded if it is
     *     below 1
     * @param actualMillis the actual run time, in milliseconds; nothing is recorded if it is below
     *     1
     */
    public void recordRun(
            String customer, String serviceClass, long declaredMillis, long actualMillis) {
        if (declaredMillis < 1 || actualMillis < 1) {
            return;
        }
        double bounded =
                Math.max(
                        1 / MAX_FACTOR,
                        Math.min(MAX_FACTOR, (double) actualMillis / declaredMillis));
        double newest = Math.log(bounded);
        logFactors.merge(
                new Key(customer, serviceClass),
                newest,
                (old, n) -> old + WEIGHT_OF_NEWEST * (n - old));
    }

    /**
     * Returns the expected run time.
     *
     * @param customer the customer, not null
     * @param serviceClass the service class, not null
     * @param declaredMillis the declared run time, in milliseconds
     * @return the corrected run time in milliseconds, at least 1
     */
    public long expectedRunMillis(String customer, String serviceClass, long declaredMillis) {
        double logFactor = logFactors.getOrDefault(new Key(customer, serviceClass), 0.0);
        return Math.max(1L, Math.round(declaredMillis * Math.exp(logFactor)));
    }

    private record Key(String customer, String serviceClass) {}
}
