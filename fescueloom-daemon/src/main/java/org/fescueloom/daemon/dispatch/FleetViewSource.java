package org.fescueloom.daemon.dispatch;

/** Provides the fleet view of a process, and its age. */
public interface FleetViewSource {
    /**
     * Returns the latest view that is known.
     *
     * @return the view, never null
     */
    FleetView view();

    /**
     * Returns how long ago the view was last known to be the newest.
     *
     * @return the time in milliseconds; very large if the view was never known to be the newest
     */
    long ageMillis();

    /**
     * Tells whether the view is current: it was the newest a moment ago, so anything missing from
     * it does not exist.
     *
     * @return whether the view is current; false after a suspension of the machine until the
     *     operator log has been read again
     */
    boolean viewCurrent();
}
