package org.fescueloom.wire;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Tells what became of a task on its worker. */
public enum TaskState {
    /** The task runs. */
    RUNNING,
    /** The task ended by itself with success. */
    SUCCEEDED,
    /** The task ended by itself with a failure. */
    FAILED,
    /** The task was stopped from outside or its lease lapsed. */
    STOPPED;

    /**
     * Returns the text that stands for this state in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
