package org.fescueloom.daemon.dispatch;

import java.util.Locale;

/** Names what shows that a run is over. */
enum EndEvidence {
    /** The upstream of the run lists the end. */
    LISTED,

    /** The upstream was told to stop the run, and a later poll does not list it. */
    ABSENT_AFTER_STOP,

    /** Another incarnation of the upstream has answered a poll and does not list the run. */
    LATER_INCARNATION,

    /** Another upstream has answered a poll at the address of the run's upstream. */
    OTHER_UPSTREAM,

    /**
     * The agent reports that the upstream has ended: another one answers at its address, or it is
     * said to have left and no process listens there.
     */
    DEPARTURE,

    /** The lease of the run has expired on any clock. */
    LEASE_EXPIRED;

    /** Returns the name for logs and metrics: lower case, with hyphens. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
