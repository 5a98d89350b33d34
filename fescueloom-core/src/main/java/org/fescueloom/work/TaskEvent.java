package org.fescueloom.work;

/** Names the events of the state chart {@code task}. */
public enum TaskEvent {
    /** A run was recorded as assigned to an upstream. */
    ASSIGNED,

    /** The run ended with success. */
    ENDED_DONE,

    /** The run failed. */
    ENDED_FAILED,

    /** The run ended without a result, through no fault of the task. */
    INTERRUPTED
}
