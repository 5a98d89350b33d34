package org.fescueloom.daemon.agent;

/** Decides whether work may start in the zone of this process now. */
@FunctionalInterface
public interface StartGate {
    /** A gate that is always open. */
    StartGate OPEN = () -> {};

    /**
     * Checks that work may start.
     *
     * @throws org.fescueloom.failure.SchedulerException with type {@code ZONE_OUT} or {@code
     *     ZONE_VIEW_STALE} if it may not
     */
    void check();
}
