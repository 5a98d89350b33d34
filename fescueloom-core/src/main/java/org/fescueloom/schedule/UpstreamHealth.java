package org.fescueloom.schedule;

/**
 * Learns from the ends of runs how fast an upstream is and whether it can be trusted.
 *
 * <p>Mutable and not thread-safe. Times are milliseconds on a steady clock of the owner.
 */
public final class UpstreamHealth {
    /** How much one run on a single upstream counts against what was known. */
    private static final double SINGLE_WEIGHT = 0.4;

    /** How much a run of a gang counts, whose pace another upstream may have set. */
    private static final double SHARED_WEIGHT = 0.15;

    /** Estimates are off by up to this factor, so one run says no more than that. */
    private static final double MAX_RATIO = 4.0;

    /** One failure may be the fault of the job; from this many in a row on, it is not. */
    private static final int SUSPECT_FAILURES = 2;

    private static final long FIRST_PAUSE_MILLIS = 3_000;
    private static final long MAX_PAUSE_MILLIS = 12_000;

    private double slowness = 1.0;
    private int failuresInRow;
    private long pausedUntil = Long.MIN_VALUE;

    /**
     * Takes in a run that ended with success.
     *
     * @param ratio its run time over the estimate, positive
     * @param shared whether other upstreams may have set the pace
     */
    public void done(double ratio, boolean shared) {
        failuresInRow = 0;
        double bounded = Math.min(MAX_RATIO, ratio);
        if (shared && bounded > slowness) {
            slowness += SHARED_WEIGHT * (bounded - slowness);
        } else {
            slowness += SINGLE_WEIGHT * (bounded - slowness);
        }
    }

    /**
     * Takes in a run that failed.
     *
     * @param now the time
     */
    public void failed(long now) {
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
    public void stuck(long now) {
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
     * @return its run times over the estimates; 1 where nothing is known
     */
    public double slowness() {
        return slowness;
    }
}
