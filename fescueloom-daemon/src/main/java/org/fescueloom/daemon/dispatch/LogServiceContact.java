package org.fescueloom.daemon.dispatch;

import org.fescueloom.daemon.cluster.Clocks;

/**
 * Remembers when the log service last showed that nobody has taken over.
 *
 * <p>The steady clock of a suspended machine stands still. The date does not, so a contact counts
 * as fresh only while both clocks have advanced alike. A step of the date makes a contact look
 * stale, which costs one more question to the log service. One thread confirms; any may ask.
 */
final class LogServiceContact {
    private static final long MAX_DIFFERENCE_MILLIS = 250;

    private final MillisClock steady;
    private final MillisClock date;
    private volatile ClockReading confirmed = new ClockReading(Long.MIN_VALUE / 2, 0);

    /** Reads a clock in milliseconds. */
    interface MillisClock {
        /** Returns the time. */
        long millis();
    }

    /** Holds the readings of both clocks at one moment. */
    record ClockReading(long monotonicMillis, long wallClockMillis) {
        /** Returns the moment that comes a time after this one, or before it if negative. */
        ClockReading plus(long millis) {
            return new ClockReading(monotonicMillis + millis, wallClockMillis + millis);
        }
    }

    LogServiceContact(MillisClock steady, MillisClock date) {
        this.steady = steady;
        this.date = date;
    }

    /** Creates one on the clocks of the process. */
    static LogServiceContact withSystemClocks() {
        return new LogServiceContact(Clocks::monotonicMillis, System::currentTimeMillis);
    }

    /** Returns the present moment, to be handed to {@link #confirm} after the answer. */
    ClockReading now() {
        return new ClockReading(steady.millis(), date.millis());
    }

    /** Notes that the log service answered a call that was sent at a moment. */
    void confirm(ClockReading sent) {
        if (sent.monotonicMillis() > confirmed.monotonicMillis()) {
            confirmed = sent;
        }
    }

    /** Tells whether no call that was sent after a moment has been answered. */
    boolean confirmedBefore(ClockReading sent) {
        return confirmed.monotonicMillis() < sent.monotonicMillis();
    }

    /** Returns how long ago the confirmed call was sent, in milliseconds. */
    long ageMillis() {
        return steady.millis() - confirmed.monotonicMillis();
    }

    /** Tells whether the confirmed call was sent within a time and no suspension has come since. */
    boolean freshWithin(long millis) {
        ClockReading last = confirmed;
        long elapsed = steady.millis() - last.monotonicMillis();
        long elapsedByDate = date.millis() - last.wallClockMillis();
        return elapsed < millis && Math.abs(elapsedByDate - elapsed) < MAX_DIFFERENCE_MILLIS;
    }
}
