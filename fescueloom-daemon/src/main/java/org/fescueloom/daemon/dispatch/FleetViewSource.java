package org.fescueloom.daemon.dispatch;

/** Tells what a process knows of what operators have set, and how old that is. */
public interface FleetViewSource {
    /**
     * Returns what is known now.
     *
     * @return the view, never null
     */
    FleetView view();

    /**
     * Returns how long ago the view was last known to be the newest.
     *
     * @return the time in milliseconds; very large if it never was
     */
    long ageMillis();

    /**
     * Tells whether the view was the newest a moment ago, so that what it does not hold does not
     * exist.
     *
     * @return whether it is current; false after a suspension until the log has been read again
     */
    boolean viewCurrent();
}
