package org.fescueloom.work;

/** Names what can happen to a task; the chart "task" says what follows. */
public enum TaskEvent {
    /** A run was recorded for an upstream. */
    ASSIGNED,

    /** The run ended with success. */
    ENDED_DONE,

    /** The run failed. */
    ENDED_FAILED,

    /** The run ended without a result and without a fault of its own. */
    INTERRUPTED
}
