package org.fescueloom.daemon.dispatch;

import org.fescueloom.daemon.cluster.Clocks;

/**
 * Records when the log service last confirmed that this process knows the newest records.
 *
 * <p>The monotonic clock stops while a machine is suspended; the wall clock does not. A
 * confirmation therefore counts as fresh only while both clocks have advanced by the same time. A
 * step of the wall clock makes a confirmation look stale, which costs one more call to the log
 * service. One thread confirms; any thread may query.
 */
final class LogServiceContact {
    /**
     * Difference between the times by which the two clocks have advanced since a confirmation, from
     * which on the confirmation no longer counts as fresh.
     */
    private static final long MAX_CLOCK_DIFFERENCE_MILLIS = 250;

    private final MillisClock monotonicClock;
    private final MillisClock wallClock;

    /**
     * When the last confirmed call was sent. The initial value is long ago, but the time elapsed
     * since then does not overflow.
     */
    private volatile ClockReading lastConfirmation = new ClockReading(Long.MIN_VALUE / 2, 0);

    /** Reads a clock. */
    interface MillisClock {
        /** Returns the time in milliseconds. */
        long millis();
    }

    /** Holds the readings of both clocks at one time. */
    record ClockReading(long monotonicMillis, long wallClockMillis) {
        /**
         * Returns a reading with a time added.
         *
         * @param millis the time in milliseconds, which may be negative
         */
        ClockReading plus(long millis) {
            return new ClockReading(monotonicMillis + millis, wallClockMillis + millis);
        }
    }

    LogServiceContact(MillisClock monotonicClock, MillisClock wallClock) {
        this.monotonicClock = monotonicClock;
        this.wallClock = wallClock;
    }

    /** Creates a contact that uses the clocks of the process. */
    static LogServiceContact withSystemClocks() {
        return new LogServiceContact(Clocks::monotonicMillis, System::currentTimeMillis);
    }

    /**
     * Reads both clocks. A caller reads them when it sends a call and passes the reading to {@link
     * #confirm} after the response.
     */
    ClockReading now() {
        return new ClockReading(monotonicClock.millis(), wallClock.millis());
    }

    /**
     * Records that the log service has responded to a call. Ignored if a call sent later is already
     * recorded.
     *
     * @param sent when the call was sent
     */
    void confirm(ClockReading sent) {
        if (sent.monotonicMillis() > lastConfirmation.monotonicMillis()) {
            lastConfirmation = sent;
        }
    }

    /** Tells whether the last confirmed call was sent before a given time. */
    boolean confirmedBefore(ClockReading sent) {
        return lastConfirmation.monotonicMillis() < sent.monotonicMillis();
    }

    /** Returns how long ago the last confirmed call was sent, in milliseconds. */
    long ageMillis() {
        return monotonicClock.millis() - lastConfirmation.monotonicMillis();
    }

    /**
     * Tells whether the last confirmed call was sent within the given time before now, and the
     * machine has not been suspended since.
     */
    boolean freshWithin(long millis) {
        ClockReading confirmation = lastConfirmation;
        long elapsed = monotonicClock.millis() - confirmation.monotonicMillis();
        long wallClockElapsed = wallClock.millis() - confirmation.wallClockMillis();
        return elapsed < millis
                && Math.abs(wallClockElapsed - elapsed) < MAX_CLOCK_DIFFERENCE_MILLIS;
    }
}
