package org.fescueloom.daemon.dispatch;

import java.util.Locale;
import org.fescueloom.loss.LossCause;

/** Names why a run is stopped that will not end in time where it runs. */
enum StopReason {
    /** The run has saved no checkpoint for too long. */
    NO_PROGRESS(LossCause.NO_PROGRESS),

    /** The run has lasted for much longer than its estimate. */
    OVERDUE(LossCause.OVERDUE),

    /** The upstream leaves before the run should end. */
    UPSTREAM_LEAVES(LossCause.UPSTREAM_LEAVING);

    private final LossCause cause;

    StopReason(LossCause cause) {
        this.cause = cause;
    }

    /** Returns the cause under which the lost work of the run is counted. */
    LossCause cause() {
        return cause;
    }

    /** Tests whether the run, and perhaps its upstream, stands still. */
    boolean stall() {
        return this != UPSTREAM_LEAVES;
    }

    /** Returns the name for logs and metrics: lower case, with hyphens. */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
