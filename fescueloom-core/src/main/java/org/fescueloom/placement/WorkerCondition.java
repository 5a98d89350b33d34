package org.fescueloom.placement;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Says whether a worker can take tasks. */
public enum WorkerCondition {
    /** Takes any task. */
    USABLE(true),
    /** Takes one small job, because tasks failed on it before. */
    ON_PROBATION(true),
    /** Takes nothing, because tasks of different jobs failed on it. */
    SET_ASIDE(false),
    /** Does not answer. */
    UNREACHABLE(false),
    /** Stands in an availability zone that is out of service. */
    ZONE_OUT(false);

    private final boolean acceptsTasks;

    WorkerCondition(boolean open) {
        this.acceptsTasks = open;
    }

    /**
     * Tells whether any task may start on the worker.
     *
     * @return whether it takes tasks
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
