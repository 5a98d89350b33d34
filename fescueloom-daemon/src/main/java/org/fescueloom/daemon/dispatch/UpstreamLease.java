package org.fescueloom.daemon.dispatch;

/**
 * Keeps the lease of the runs on an upstream. The lease expires by the clock of the upstream, which
 * is known from the last poll.
 *
 * <p>Confined to the event loop of the agent. Times without another clock are on the monotonic
 * clock of the agent.
 */
final class UpstreamLease {
    /**
     * The lowest rate of the upstream's clock relative to the clock of the agent. An extrapolation
     * at this rate is never ahead of the upstream's clock, so a lease does not end later than the
     * dispatcher has granted.
     */
    private static final double MIN_CLOCK_RATE = 0.97;

    /**
     * If less is left of the lease that the upstream knows, a new lease is urgent. A poll in
     * progress waits for up to a second, and takes as long again at worst.
     */
    private static final long SHORT_LEASE_MILLIS = 2_000;

    /** When the lease expires, on the clock of the upstream; 0 if no lease is known. */
    private long untilMillis;

    /** The expiry that the upstream has been told; 0 if none. */
    private long sentUntilMillis;

    /** The reading of the upstream's clock at the last poll. */
    private long clockMillis;

    /** When the last poll returned. */
    private long clockReadMillis;

    /** Forgets the lease of an earlier incarnation of the upstream. */
    void reset() {
        untilMillis = 0;
        sentUntilMillis = 0;
    }

    /** Records a reading of the upstream's clock. */
    void readClock(long upstreamClockMillis, long nowMillis) {
        clockMillis = upstreamClockMillis;
        clockReadMillis = nowMillis;
    }

    /** Returns the time on the upstream's clock, which is not ahead of that clock. */
    long clockMillis(long nowMillis) {
        return clockMillis + (long) ((nowMillis - clockReadMillis) * MIN_CLOCK_RATE);
    }

    /** Returns the time since the upstream's clock was read. */
    long clockAgeMillis(long nowMillis) {
        return nowMillis - clockReadMillis;
    }

    /** Extends the lease; a lease that ends earlier has no effect. */
    void extend(long newUntilMillis) {
        untilMillis = Math.max(untilMillis, newUntilMillis);
    }

    /** Returns when the lease expires, on the clock of the upstream; 0 if no lease is known. */
    long untilMillis() {
        return untilMillis;
    }

    /** Returns when the lease expires, and records that the upstream is told. */
    long send() {
        sentUntilMillis = untilMillis;
        return untilMillis;
    }

    /** Tells whether the upstream does not know the lease, and the one that it knows ends soon. */
    boolean mustBeSent(long nowMillis) {
        return untilMillis > sentUntilMillis
                && sentUntilMillis - clockMillis(nowMillis) < SHORT_LEASE_MILLIS;
    }
}
