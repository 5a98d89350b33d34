package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names how a run of a task ended. */
public enum RunEnd {
    /** The task is done. */
    DONE(TaskEvent.ENDED_DONE),

    /** It failed by its own fault or that of its upstream; counts as an attempt. */
    FAILED(TaskEvent.ENDED_FAILED),

    /** It was told to stop. */
    STOPPED(TaskEvent.INTERRUPTED),

    /** Its lease ran out. */
    LAPSED(TaskEvent.INTERRUPTED),

    /** Another member of its gang ended. */
    BROKEN(TaskEvent.INTERRUPTED),

    /** The other members of its gang did not come. */
    ALONE(TaskEvent.INTERRUPTED),

    /** Its upstream is gone, or never ran it. */
    GONE(TaskEvent.INTERRUPTED);

    private final TaskEvent event;

    RunEnd(TaskEvent event) {
        this.event = event;
    }

    /**
     * Returns what the end means for the task.
     *
     * @return the event of the chart of tasks, never null
     */
    public TaskEvent event() {
        return event;
    }

    /**
     * Returns the name on the wire.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
