package org.fescueloom.schedule;

import java.util.OptionalDouble;

/**
 * Measures the speed of an upstream by the checkpoints of one run: a run saves a checkpoint after
 * each interval of work, however wrong the estimate of its run time is.
 *
 * <p>Mutable and not thread-safe.
 */
public final class CheckpointPace {
    /**
     * The minimum time from the first to the last checkpoint of a measurement. Both are observed up
     * to a second late, which makes an error of a sixth (one standard deviation).
     */
    private static final long MIN_WINDOW_MILLIS = 2_500;

    /**
     * The maximum time between two observations. The agent observes its upstream each second; after
     * a longer time, checkpoints may have been missed.
     */
    private static final long MAX_GAP_MILLIS = 1_600;

    private static final long NONE = -1;

    private String lastCheckpoint = "";
    private long lastObservedMillis = NONE;

    /** When the first checkpoint of the present measurement was observed. */
    private long firstMillis = NONE;

    /** The number of later checkpoints of the present measurement. */
    private int checkpoints;

    private boolean measured;

    /**
     * Records an observation of the run.
     *
     * @param checkpoint the latest checkpoint, not null; empty if there is none
     * @param observedMillis the time of the observation
     * @param intervalMillis the work between two checkpoints, as run time on an average upstream;
     *     positive
     * @return the time between the checkpoints divided by the interval, if the observation
     *     completes a measurement; at least about 1, because a fast run saves several checkpoints
     *     between two observations
     */
    public OptionalDouble observe(String checkpoint, long observedMillis, long intervalMillis) {
        if (lastObservedMillis == NONE || observedMillis - lastObservedMillis > MAX_GAP_MILLIS) {
            firstMillis = NONE;
        }
        lastObservedMillis = observedMillis;
        if (checkpoint.equals(lastCheckpoint)) {
            return OptionalDouble.empty();
        }
        lastCheckpoint = checkpoint;
        if (firstMillis == NONE) {
            return startMeasurement(observedMillis);
        }
        checkpoints++;
        long elapsed = observedMillis - firstMillis;
        if (elapsed < MIN_WINDOW_MILLIS) {
            return OptionalDouble.empty();
        }
        double ratio = (double) elapsed / (checkpoints * intervalMillis);
        startMeasurement(observedMillis);
        measured = true;
        return OptionalDouble.of(ratio);
    }

    /**
     * Tells whether a measurement of the run has been completed.
     *
     * @return whether {@link #observe} has returned a pace
     */
    public boolean measured() {
        return measured;
    }

    private OptionalDouble startMeasurement(long observedMillis) {
        firstMillis = observedMillis;
        checkpoints = 0;
        return OptionalDouble.empty();
    }
}
