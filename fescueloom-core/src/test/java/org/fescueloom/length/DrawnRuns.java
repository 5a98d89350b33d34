package org.fescueloom.length;

import java.util.Random;

/** Draws runs of a kind and records them. One run ends each 100 ms. */
final class DrawnRuns {
    static final RunKind KIND = new RunKind("batch", "train:7", "acme", 26_000, 2, true);

    /** The share of the runs that take {@link #TAIL_FACTOR} times as long. */
    private static final double TAIL_SHARE = 0.03;

    private static final double TAIL_FACTOR = 7;

    final RunLengthModel model;

    /** The present time in milliseconds. */
    long now;

    private final Random random;

    DrawnRuns(RunLengthModel model, long seed) {
        this.model = model;
        this.random = new Random(seed);
    }

    /** Draws a length with the given median and log-normal spread, in milliseconds. */
    double length(double medianMillis, double spread) {
        return medianMillis * Math.exp(spread * random.nextGaussian());
    }

    /** Draws a length of which 3 in 100 are seven times as long. */
    double lengthWithTail(double medianMillis, double spread) {
        double length = length(medianMillis, spread);
        return random.nextDouble() < TAIL_SHARE ? TAIL_FACTOR * length : length;
    }

    /** Draws an estimate that is wrong by up to nine tenths. */
    long estimate(double lengthMillis) {
        return Math.max(1, Math.round(lengthMillis * (0.1 + 1.8 * random.nextDouble())));
    }

    double uniform() {
        return random.nextDouble();
    }

    void end(RunKind kind, long estimateMillis, double lengthMillis) {
        now += 100;
        model.recordEnd(kind, estimateMillis, lengthMillis, now);
    }

    /** Records ends of {@link #KIND} with wrong estimates and without a tail. */
    void ends(int count, double medianMillis, double spread) {
        for (int i = 0; i < count; i++) {
            double length = length(medianMillis, spread);
            end(KIND, estimate(length), length);
        }
    }

    /** Records ends of {@link #KIND} with wrong estimates and a tail. */
    void endsWithTail(int count, double medianMillis, double spread) {
        for (int i = 0; i < count; i++) {
            double length = lengthWithTail(medianMillis, spread);
            end(KIND, estimate(length), length);
        }
    }

    RunLengthForecast forecast(long estimateMillis) {
        return model.forecast(KIND, estimateMillis, now);
    }
}
