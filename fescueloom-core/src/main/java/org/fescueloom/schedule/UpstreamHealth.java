package org.fescueloom.schedule;

/**
 * Learns from the runs on an upstream how fast the upstream is and whether it is suspect: whether
 * tasks should be placed on other upstreams if possible.
 *
 * <p>Slowness is the run time on the upstream divided by the run time on an average upstream.
 * Mutable and not thread-safe. Times are in milliseconds on the monotonic clock of the dispatcher
 * unless said otherwise.
 */
public final class UpstreamHealth {
    /**
     * The variance of the logarithm of the slowness before the first observation: observed
     * upstreams of one service differ in speed by a factor of about two and a half.
     */
    private static final double SPEED_VARIANCE = 0.15;

    /**
     * The variance of the logarithm of a run time: the run times of one step's tasks on one
     * upstream differ by about a fifth.
     */
    private static final double RUN_VARIANCE = 0.05;

    /**
     * The variance that replaces {@link #RUN_VARIANCE} for a slow run of a gang. Such a run is weak
     * evidence about each upstream, because any upstream of the gang may have caused the slowness.
     */
    private static final double GANG_VARIANCE = 0.6;

    /**
     * The variance of the logarithm of a pace of checkpoints: the error of a {@link CheckpointPace}
     * is a sixth.
     */
    private static final double PACE_VARIANCE = 0.03;

    /**
     * A pace of checkpoints up to this one may be that of an average upstream or of a faster one,
     * because agents observe their upstream once a second.
     */
    private static final double FULL_PACE = 1.2;

    /**
     * Limits the influence of one run: larger ratios of run time and estimate count as this one,
     * and smaller ratios as its inverse.
     */
    private static final double MAX_RATIO = 6.0;

    /**
     * Limits the slowness that is derived from a run in progress: a run that makes no progress at
     * all is attributed to its task.
     */
    private static final double MAX_RUNNING_SLOWNESS = 4.0;

    /**
     * The increase of the variance per millisecond. An upstream may become slow or fast again
     * within half a minute, so the variance returns to its initial value in that time.
     */
    private static final double AGING_PER_MILLI = SPEED_VARIANCE / 30_000;

    /**
     * The distance of the upper bound of a step's estimate error from the estimate. The error
     * exceeds its mean by more than two standard deviations in one of forty cases.
     */
    private static final double STEP_ERROR_DEVIATIONS = 2.0;

    /**
     * The distance of the upper bound of the slowness from the estimate. The slowness exceeds its
     * mean by more than one standard deviation in one of six cases.
     */
    private static final double SLOWNESS_DEVIATIONS = 1.0;

    /**
     * One failure may be the fault of the job; this many consecutive failures are attributed to the
     * upstream.
     */
    private static final int SUSPECT_FAILURES = 2;

    /**
     * How long the upstream is suspect after {@link #SUSPECT_FAILURES} failures; doubles with each
     * further failure.
     */
    private static final long FIRST_SUSPECT_MILLIS = 3_000;

    /** The longest time for which the upstream is suspect after a failure. */
    private static final long MAX_SUSPECT_MILLIS = 12_000;

    private final LogNormalEstimate slowness = new LogNormalEstimate(SPEED_VARIANCE);
    private int consecutiveFailures;

    /**
     * The greatest slowness that runs in progress have shown since the last run that ended with
     * success; 0 if there was none.
     */
    private double runningSlowness;

    /** The time at which the variance was last increased because of its age. */
    private long updatedMillis;

    private boolean speedKnown;

    /**
     * The end of the time for which the upstream is suspect; {@link Long#MIN_VALUE} if it never
     * was.
     */
    private long suspectUntilMillis = Long.MIN_VALUE;

    /**
     * Restores the speed that an earlier dispatcher learned.
     *
     * @param speed the stored speed, not null
     * @param monotonicMillis the current time on the monotonic clock
     * @param wallClockMillis the current time in milliseconds since 1970
     */
    public void restore(UpstreamSpeed speed, long monotonicMillis, long wallClockMillis) {
        slowness.restore(speed.slowness(), speed.variance());
        slowness.increaseVariance(
                Math.max(0, wallClockMillis - speed.learnedAtMillis()) * AGING_PER_MILLI);
        updatedMillis = monotonicMillis;
        speedKnown = true;
    }

    /**
     * Returns the learned speed, to be stored for the next dispatcher.
     *
     * @param wallClockMillis the current time in milliseconds since 1970
     * @return the speed, never null
     */
    public UpstreamSpeed speed(long wallClockMillis) {
        return new UpstreamSpeed(slowness.value(), slowness.variance(), wallClockMillis);
    }

    /**
     * Records a run that ended with success.
     *
     * @param ratio the run time divided by the estimate, positive
     * @param estimateError the estimate error of the step, which is corrected as well, not null
     * @param shared whether other upstreams may have determined the run time
     * @param monotonicMillis the time of the end
     */
    public void recordSuccess(
            double ratio, StepEstimateError estimateError, boolean shared, long monotonicMillis) {
        consecutiveFailures = 0;
        speedKnown = true;
        runningSlowness = 0;
        increaseVarianceByAge(monotonicMillis);
        double bounded = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
        boolean slow = bounded > slowness.value() * estimateError.factor();
        double noise = shared && slow ? GANG_VARIANCE : RUN_VARIANCE;
        LogNormalEstimate.observeProduct(slowness, estimateError.error(), bounded, noise);
    }

    /**
     * Records the pace at which a run in progress saves checkpoints.
     *
     * @param pace the time between two checkpoints divided by the work between them, positive; see
     *     {@link CheckpointPace}
     * @param shared whether other upstreams may have determined the pace
     * @param monotonicMillis the current time
     */
    public void recordPace(double pace, boolean shared, long monotonicMillis) {
        speedKnown = true;
        increaseVarianceByAge(monotonicMillis);
        if (pace > FULL_PACE) {
            slowness.observe(Math.min(MAX_RATIO, pace), shared ? GANG_VARIANCE : PACE_VARIANCE);
        } else {
            slowness.observe(Math.min(1.0, slowness.value()), PACE_VARIANCE);
            // Runs took long because of their estimates, not because of the upstream.
            runningSlowness = 0;
        }
    }

    /**
     * Records that a run is still in progress. The upstream counts as slow once the run takes
     * longer than the step can need at average speed, until a run ends on the upstream with
     * success.
     *
     * @param ratio the elapsed time divided by the estimate, positive
     * @param estimateError the estimate error of the step, not null
     */
    public void recordRunning(double ratio, StepEstimateError estimateError) {
        double lowerBound = ratio / estimateError.error().upperBound(STEP_ERROR_DEVIATIONS);
        runningSlowness = Math.max(runningSlowness, Math.min(MAX_RUNNING_SLOWNESS, lowerBound));
    }

    private void increaseVarianceByAge(long monotonicMillis) {
        slowness.increaseVariance(Math.max(0, monotonicMillis - updatedMillis) * AGING_PER_MILLI);
        updatedMillis = monotonicMillis;
    }

    /**
     * Records a run that failed. The upstream becomes suspect after two consecutive failures.
     *
     * @param monotonicMillis the time of the end
     */
    public void recordFailure(long monotonicMillis) {
        consecutiveFailures++;
        if (consecutiveFailures >= SUSPECT_FAILURES) {
            // The limit of 8 keeps the shift from overflowing.
            int doublings = Math.min(8, consecutiveFailures - SUSPECT_FAILURES);
            suspectFor(
                    monotonicMillis,
                    Math.min(MAX_SUSPECT_MILLIS, FIRST_SUSPECT_MILLIS << doublings));
        }
    }

    /**
     * Records a run that made no progress. The upstream becomes suspect for half of the longest
     * time after a failure, unless it is suspect for longer already.
     *
     * @param monotonicMillis the current time
     */
    public void recordStall(long monotonicMillis) {
        suspectFor(monotonicMillis, MAX_SUSPECT_MILLIS / 2);
    }

    private void suspectFor(long monotonicMillis, long millis) {
        suspectUntilMillis = Math.max(suspectUntilMillis, monotonicMillis + millis);
    }

    /**
     * Tells whether tasks should be placed on other upstreams if possible.
     *
     * @param monotonicMillis the current time
     * @return whether consecutive runs have failed, or a run has stalled, on the upstream recently
     */
    public boolean suspect(long monotonicMillis) {
        return monotonicMillis < suspectUntilMillis;
    }

    /**
     * Returns the slowness of the upstream, by ended runs and runs in progress.
     *
     * @return the run times divided by those on an average upstream; 1 if unknown
     */
    public double slowness() {
        return Math.max(slowness.value(), runningSlowness);
    }

    /**
     * Returns the slowness of the upstream, by ended runs only.
     *
     * @return the run times divided by those on an average upstream; 1 if unknown
     */
    public double measuredSlowness() {
        return slowness.value();
    }

    /**
     * Returns a bound that the slowness of the upstream probably does not exceed.
     *
     * @return the run times divided by those on an average upstream; above 1 if unknown
     */
    public double slownessUpperBound() {
        double uncertainty = slowness.upperBound(SLOWNESS_DEVIATIONS) / slowness.value();
        return uncertainty * slowness();
    }

    /**
     * Tells whether the speed of the upstream is known.
     *
     * @return false until a run has ended with success or shown its pace, or a stored speed was
     *     restored
     */
    public boolean speedKnown() {
        return speedKnown;
    }
}
