package org.fescueloom.schedule;

/**
 * Learns from the ends of runs how fast an upstream is and whether it can be trusted.
 *
 * <p>Mutable and not thread-safe. Times are milliseconds on a steady clock of the owner.
 */
public final class UpstreamHealth {
    /** Upstreams of one service are seen to differ by a factor of about two and a half. */
    private static final double SPEED_VARIANCE = 0.15;

    /** Tasks of one step on one upstream differ by about a fifth. */
    private static final double RUN_VARIANCE = 0.05;

    /** A slow run of a gang says little of each member: any of them may have set its pace. */
    private static final double GANG_VARIANCE = 0.6;

    /** A run says no more than that it took this many times its estimate, or the inverse. */
    private static final double MAX_RATIO = 6.0;

    /** A run that stands still tells of its task, so it does not count beyond this slowness. */
    private static final double MAX_SLOWNESS = 4.0;

    /** Upstreams turn slow and fast again within half a minute. */
    private static final double AGING_PER_MILLI = SPEED_VARIANCE / 30_000;

    /** Two standard deviations are exceeded once in forty times. */
    private static final double SURE_DEVIATIONS = 2.0;

    /** One standard deviation is exceeded once in six times. */
    private static final double LIKELY_DEVIATIONS = 1.0;

    /** One failure may be the fault of the job; from this many in a row on, it is not. */
    private static final int SUSPECT_FAILURES = 2;

    private static final long FIRST_PAUSE_MILLIS = 3_000;
    private static final long MAX_PAUSE_MILLIS = 12_000;

    private final LogNormalEstimate slowness = new LogNormalEstimate(SPEED_VARIANCE);
    private int failuresInRow;
    private double runningSlowness;
    private long learnedMillis;
    private boolean speedKnown;
    private long pausedUntil = Long.MIN_VALUE;

    /**
     * Takes up what an earlier dispatcher has learned.
     *
     * @param speed the speed that was kept, not null
     * @param now the time
     * @param nowDate the time in milliseconds since 1970
     */
    public void restore(UpstreamSpeed speed, long now, long nowDate) {
        slowness.restore(speed.slowness(), speed.variance());
        slowness.increaseVariance(Math.max(0, nowDate - speed.learnedAtMillis()) * AGING_PER_MILLI);
        learnedMillis = now;
        speedKnown = true;
    }

    /**
     * Returns what is to be kept.
     *
     * @param nowDate the time in milliseconds since 1970
     * @return the speed, never null
     */
    public UpstreamSpeed speed(long nowDate) {
        return new UpstreamSpeed(slowness.value(), slowness.variance(), nowDate);
    }

    /**
     * Takes in a run that ended with success.
     *
     * @param ratio its run time over the estimate, positive
     * @param pace what is known of its step, which learns too, not null
     * @param shared whether other upstreams may have set the pace
     * @param now the time
     */
    public void recordSuccess(double ratio, StepEstimateError pace, boolean shared, long now) {
        failuresInRow = 0;
        speedKnown = true;
        runningSlowness = 0;
        slowness.increaseVariance(Math.max(0, now - learnedMillis) * AGING_PER_MILLI);
        learnedMillis = now;
        double bounded = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
        boolean slow = bounded > slowness.value() * pace.factor();
        double noise = shared && slow ? GANG_VARIANCE : RUN_VARIANCE;
        LogNormalEstimate.observeProduct(slowness, pace.error(), bounded, noise);
    }

    /**
     * Takes in that a run goes on, which shows that the upstream is slow once it takes longer than
     * the step can need at usual speed. That holds until a run ends there.
     *
     * @param ratio its time so far over the estimate, positive
     * @param pace what is known of its step, not null
     */
    public void recordRunning(double ratio, StepEstimateError pace) {
        double least = ratio / pace.error().upperBound(SURE_DEVIATIONS);
        runningSlowness = Math.max(runningSlowness, Math.min(MAX_SLOWNESS, least));
    }

    /**
     * Takes in a run that failed.
     *
     * @param now the time
     */
    public void recordFailure(long now) {
        failuresInRow++;
        if (failuresInRow >= SUSPECT_FAILURES) {
            int doublings = Math.min(8, failuresInRow - SUSPECT_FAILURES);
            pause(now, Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << doublings));
        }
    }

    /**
     * Takes in a run that made no progress.
     *
     * @param now the time
     */
    public void recordStall(long now) {
        pause(now, MAX_PAUSE_MILLIS / 2);
    }

    private void pause(long now, long millis) {
        pausedUntil = Math.max(pausedUntil, now + millis);
    }

    /**
     * Tells whether tasks should go elsewhere if they can.
     *
     * @param now the time
     * @return whether the upstream has failed runs in a row or let one stand still lately
     */
    public boolean suspect(long now) {
        return now < pausedUntil;
    }

    /**
     * Returns how slow the upstream is.
     *
     * @return its run times over those of a usual upstream; 1 where nothing is known
     */
    public double slowness() {
        return Math.max(slowness.value(), runningSlowness);
    }

    /**
     * Returns how slow the upstream is by the runs that have ended there.
     *
     * @return their run times over those of a usual upstream; 1 where nothing is known
     */
    public double measuredSlowness() {
        return slowness.value();
    }

    /**
     * Returns a slowness that the upstream likely does not exceed.
     *
     * @return its run times over those of a usual upstream; above 1 where nothing is known
     */
    public double slownessUpperBound() {
        double doubt = slowness.upperBound(LIKELY_DEVIATIONS) / slowness.value();
        return doubt * slowness();
    }

    /**
     * Tells whether runs have shown how fast the upstream is.
     *
     * @return false until a run has ended there
     */
    public boolean speedKnown() {
        return speedKnown;
    }
}
