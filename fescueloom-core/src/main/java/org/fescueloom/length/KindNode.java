package org.fescueloom.length;

/**
 * Holds what was learned about the runs of a kind at one level of the hierarchy: moments, from
 * which the centre is predicted, and a histogram of the ratios of observed to predicted length.
 *
 * <p>Mutable and not thread-safe.
 */
final class KindNode {
    /** The factor by which a further end of the kind reduces the weight of earlier ones. */
    private static final double DECAY_PER_END = Math.exp(-Math.log(2) / 500);

    /** The time in which the weight of an end halves. */
    private static final double HALF_LIFE_MILLIS = 6 * 3_600_000.0;

    /**
     * The factor by which an end reduces the weight of earlier ones while lengths drift. About 10
     * ends count then, so that the centre follows a lasting change within about 50 ends.
     */
    private static final double DECAY_PER_END_IN_DRIFT = 0.9;

    /**
     * The mean deviation from the forecast, in standard deviations, beyond which lengths are
     * considered to drift. It is 4.9 standard deviations of the moving average in a steady kind.
     */
    private static final double DRIFT_LIMIT = 0.6;

    /** The weight of the newest end in the moving average of deviations. */
    private static final double DRIFT_WEIGHT = 0.03;

    /** The deviation at which ends are clamped in the moving average, in standard deviations. */
    private static final double MAX_DEVIATIONS = 3;

    /** The variance of deviations that is assumed without evidence, and its weight in ends. */
    private static final double INITIAL_VARIANCE = 0.5;

    private static final double INITIAL_VARIANCE_WEIGHT = 4;

    /**
     * The maximum weight of a histogram. Ends alone reach 722; the rest is left to unfinished runs,
     * whose weight decays with time and with ends only.
     */
    private static final float MAX_MASS = 2_000;

    /**
     * The weight below which a bin counts as empty. Otherwise bins without new ends would decay to
     * subnormal numbers, with which processors calculate slowly.
     */
    private static final float MIN_WEIGHT = 1e-9f;

    private final RunKind key;
    private final KindLevel level;
    private final KindNode parent;
    private final LogMoments moments = new LogMoments();
    private final float[] bins = new float[RatioBins.COUNT];

    private int children;
    private long decayedToMillis;
    private float mass;

    /** The variance of the clamped deviations from the forecast. */
    private double deviationVariance;

    /** The moving average of the clamped deviations, in standard deviations. */
    private double drift;

    /**
     * Creates a node without evidence.
     *
     * @param key the key of the kind at this level, not null
     * @param level the level, not null
     * @param parent the next more general node; null for a queue
     * @param monotonicMillis the present time
     */
    KindNode(RunKind key, KindLevel level, KindNode parent, long monotonicMillis) {
        this.key = key;
        this.level = level;
        this.parent = parent;
        this.decayedToMillis = monotonicMillis;
        if (parent != null) {
            parent.children++;
        }
    }

    RunKind key() {
        return key;
    }

    KindLevel level() {
        return level;
    }

    KindNode parent() {
        return parent;
    }

    boolean hasChildren() {
        return children > 0;
    }

    /** Tells the parent that this node is no longer used. */
    void detach() {
        if (parent != null) {
            parent.children--;
        }
    }

    /**
     * Returns the effective number of ends.
     *
     * @param monotonicMillis the present time
     * @return the number, not negative
     */
    double evidence(long monotonicMillis) {
        return moments.weight() * decayUntil(monotonicMillis);
    }

    private double decayUntil(long monotonicMillis) {
        long millis = monotonicMillis - decayedToMillis;
        return millis <= 0 ? 1 : decayOver(millis);
    }

    private void decay(double factor) {
        moments.decay(factor);
        mass = 0;
        for (int i = 0; i < bins.length; i++) {
            float weight = bins[i] * (float) factor;
            bins[i] = weight < MIN_WEIGHT ? 0 : weight;
            mass += bins[i];
        }
    }

    private void decayTo(long monotonicMillis) {
        double factor = decayUntil(monotonicMillis);
        decayedToMillis = Math.max(decayedToMillis, monotonicMillis);
        if (factor < 1) {
            decay(factor);
        }
    }

    /**
     * Refines the slope of the regression of length on estimate.
     *
     * @param parentSlope the slope of the parent, from 0 to 1
     * @return the slope, from 0 to 1
     */
    double slope(double parentSlope) {
        return moments.slope(parentSlope);
    }

    /**
     * Refines the prediction of the length.
     *
     * @param parentCentre the logarithm of the length that the parent predicts
     * @param observation the run
     * @param slope the slope of the regression of length on estimate
     * @param monotonicMillis the present time
     * @return the logarithm of the predicted length
     */
    double centre(
            double parentCentre, Observation observation, double slope, long monotonicMillis) {
        double decay = decayUntil(monotonicMillis);
        double own =
                observation.hasEstimate()
                        ? moments.weightedCentre(observation.logEstimate(), slope)
                        : moments.weightedCentre();
        return (own * decay + level.centreWeight() * parentCentre)
                / (moments.weight() * decay + level.centreWeight());
    }

    /**
     * Refines the distribution of the ratios of observed to predicted length.
     *
     * @param shares the distribution of the parent; receives that of this node; not null
     * @param monotonicMillis the present time
     */
    void refine(double[] shares, long monotonicMillis) {
        double decay = decayUntil(monotonicMillis);
        double parentPart = level.shapeWeight() / (mass * decay + level.shapeWeight());
        double ownPart = decay / (mass * decay + level.shapeWeight());
        for (int i = 0; i < shares.length; i++) {
            shares[i] = ownPart * bins[i] + parentPart * shares[i];
        }
    }

    /**
     * Learns from an end.
     *
     * @param observation the run, not null
     * @param deviation the logarithm of the ratio of observed to predicted length
     * @param monotonicMillis the present time
     */
    void recordEnd(Observation observation, double deviation, long monotonicMillis) {
        decayTo(monotonicMillis);
        recordDeviation(deviation);
        decay(Math.abs(drift) > DRIFT_LIMIT ? DECAY_PER_END_IN_DRIFT : DECAY_PER_END);
        if (observation.hasEstimate()) {
            moments.add(observation.logLength(), observation.logEstimate());
        } else {
            moments.add(observation.logLength());
        }
        bins[RatioBins.binAt(RatioBins.positionOf(deviation))]++;
        mass++;
    }

    private void recordDeviation(double deviation) {
        double weight = moments.weight();
        double assumed =
                (weight * deviationVariance + INITIAL_VARIANCE_WEIGHT * INITIAL_VARIANCE)
                        / (weight + INITIAL_VARIANCE_WEIGHT);
        double scale = Math.sqrt(assumed);
        double scaled = Math.max(-MAX_DEVIATIONS, Math.min(MAX_DEVIATIONS, deviation / scale));
        drift += DRIFT_WEIGHT * (scaled - drift);
        double square = scaled * scaled * assumed;
        deviationVariance += (square - deviationVariance) / (weight + 1);
    }

    /**
     * Learns from a run that was stopped: spreads a weight over the bins beyond its age, in
     * proportion to the present distribution.
     *
     * <p>The added distribution is nowhere shorter than the present one, and earlier ends keep
     * their weight; therefore no quantile becomes shorter.
     *
     * @param position the position of the ratio of age to predicted length on the scale of bins
     * @param shares the present distribution of this node, not null
     * @param monotonicMillis the present time
     */
    void recordUnfinished(double position, double[] shares, long monotonicMillis) {
        decayTo(monotonicMillis);
        double above = RatioBins.shareAbove(shares, position);
        double weight = weightOfUnfinished(1 - above);
        if (weight <= 0 || mass >= MAX_MASS) {
            return;
        }
        int bin = RatioBins.binAt(position);
        if (above < Double.MIN_NORMAL) {
            bins[bin] += (float) weight;
        } else {
            bins[bin] += (float) (weight * shares[bin] * (bin + 1 - position) / above);
            for (int i = bin + 1; i < bins.length; i++) {
                bins[i] += (float) (weight * shares[i] / above);
            }
        }
        mass += (float) weight;
    }

    /**
     * Returns the weight of an unfinished run in ends. A run that was stopped soon after its start
     * says nothing about its length; many of them must not strengthen the present distribution.
     */
    private static double weightOfUnfinished(double shareBelow) {
        return Math.min(1, 4 * shareBelow);
    }

    /**
     * Returns what was learned, for the stored form.
     *
     * @param monotonicMillis the present time
     * @return the state, never null
     */
    KindState state(long monotonicMillis) {
        double decay = decayUntil(monotonicMillis);
        double[] weights = new double[bins.length];
        for (int i = 0; i < bins.length; i++) {
            weights[i] = bins[i] * decay;
        }
        return new KindState(moments.stored(decay), deviationVariance, drift, weights);
    }

    /**
     * Replaces what was learned by a stored state.
     *
     * @param state the state, not null
     * @param factor the factor by which its weights have decayed since it was stored
     */
    void restore(KindState state, double factor) {
        moments.restore(state.moments());
        moments.decay(factor);
        deviationVariance = state.deviationVariance();
        drift = state.drift();
        mass = 0;
        for (int i = 0; i < bins.length; i++) {
            bins[i] = (float) (state.weights()[i] * factor);
            mass += bins[i];
        }
    }

    /**
     * Returns the decay of weights over a time.
     *
     * @param millis the time, not negative
     * @return the factor, from 0 to 1
     */
    static double decayOver(long millis) {
        return Math.exp(-Math.log(2) * millis / HALF_LIFE_MILLIS);
    }
}
