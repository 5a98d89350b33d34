package org.fescueloom.placement;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Defines the conditions of a worker, which decide whether it accepts tasks. */
public enum WorkerCondition {
    /** Accepts any task. */
    USABLE(true),
    /**
     * Accepts one job with a single task while it is otherwise idle, because tasks failed on it
     * before.
     */
    ON_PROBATION(true),
    /** Is excluded and accepts no tasks, because tasks of different jobs failed on it. */
    SET_ASIDE(false),
    /** Does not respond. */
    UNREACHABLE(false),
    /** Belongs to an availability zone that is out of service. */
    ZONE_OUT(false);

    private final boolean acceptsTasks;

    WorkerCondition(boolean acceptsTasks) {
        this.acceptsTasks = acceptsTasks;
    }

    /**
     * Returns whether any task may start on the worker.
     *
     * @return {@code true} if the worker accepts tasks
     */
    public boolean acceptsTasks() {
        return acceptsTasks;
    }

    /**
     * Returns the text that stands for this condition in JSON.
     *
     * @return the name in lower case with hyphens, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
