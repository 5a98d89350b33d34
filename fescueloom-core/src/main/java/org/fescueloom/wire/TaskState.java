package org.fescueloom.wire;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Enumerates the states of a task on a worker. */
public enum TaskState {
    /** The task is running. */
    RUNNING,
    /** The task ended successfully. */
    SUCCEEDED,
    /** The task ended with a failure. */
    FAILED,
    /** The task was stopped before it ended, or its lease lapsed. */
    STOPPED;

    /**
     * Returns the JSON value of this state.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
