package org.fescueloom.job;

/** Names the events of the state chart {@code job}. */
public enum JobEvent {
    /** A planner placed a gang. */
    GANG_PLACED,
    /** Every task of the gang ended with success. */
    GANG_SUCCEEDED,
    /** The gang was preempted, moved or lost. */
    GANG_INTERRUPTED,
    /** A task failed, and the job may be placed again. */
    GANG_FAILED,
    /** A task failed, and the job has failed too often. */
    FAILURES_EXHAUSTED,
    /** The gang was stopped because the job was cancelled. */
    GANG_CANCELLED,
    /** The caller cancelled the job. */
    CANCEL_REQUESTED
}
