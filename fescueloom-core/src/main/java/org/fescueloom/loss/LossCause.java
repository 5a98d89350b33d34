package org.fescueloom.loss;

import java.util.Locale;
import org.fescueloom.work.RunEnd;

/** Names why the work of a run was lost. */
public enum LossCause {
    /** The run was stopped for a unit of a more urgent priority. */
    PREEMPTED,

    /** The run was stopped because it ran for too long without an end. */
    OVERDUE,

    /** The run was stopped because it saved no checkpoint for too long. */
    NO_PROGRESS,

    /** The run was stopped because its upstream leaves or may no longer start tasks. */
    UPSTREAM_LEAVING,

    /** The run waited for members of its gang that did not start. */
    GANG_INCOMPLETE,

    /** The run was stopped because another member of its gang ended. */
    GANG_BROKEN,

    /** The lease of the run expired. */
    LEASE_EXPIRED,

    /** The upstream of the run ended. */
    UPSTREAM_GONE,

    /** The run failed. */
    FAILED,

    /** The run was stopped because its job was cancelled or had ended. */
    CANCELLED,

    /** The run was stopped because its gang was already done. */
    SUPERSEDED;

    /**
     * Returns the cause that follows from how a run ended, for a run whose stop was not requested.
     *
     * @param end how the run ended, not null and not {@code DONE}
     * @return the cause, never null
     * @throws IllegalArgumentException if the end is {@code DONE}, which loses nothing
     */
    public static LossCause ofEnd(RunEnd end) {
        return switch (end) {
            case FAILED -> FAILED;
            case LAPSED -> LEASE_EXPIRED;
            case BROKEN -> GANG_BROKEN;
            case ALONE -> GANG_INCOMPLETE;
            case GONE -> UPSTREAM_GONE;
            // An earlier dispatcher requested the stop; its reason is not known here.
            case STOPPED -> CANCELLED;
            case DONE -> throw new IllegalArgumentException("a run that is done loses no work");
        };
    }

    /**
     * Tells whether the work of a run with this cause is lost.
     *
     * @return false if the result of the run was no longer needed
     */
    public boolean losesWork() {
        return this != SUPERSEDED;
    }

    /**
     * Returns the name for logs and metrics.
     *
     * @return the name in lower case, with hyphens, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
