package org.fescueloom.daemon.agent;

/** Decides whether work may currently start in the availability zone of this process. */
@FunctionalInterface
public interface StartGate {
    /** A gate that always allows work to start. */
    StartGate OPEN = () -> {};

    /**
     * Checks that work may start.
     *
     * @throws org.fescueloom.failure.SchedulerException with type {@code ZONE_OUT} or {@code
     *     ZONE_VIEW_STALE} if work may not start
     */
    void check();
}
