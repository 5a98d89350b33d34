package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the ways in which a run of a task ends. */
public enum RunEnd {
    /** The run ended with success; the task is done unless it is endless. */
    DONE(TaskEvent.ENDED_DONE),

    /**
     * The run failed through a fault of the task or of its upstream; the end counts as a failure of
     * the task.
     */
    FAILED(TaskEvent.ENDED_FAILED),

    /** The run was stopped by an order. */
    STOPPED(TaskEvent.INTERRUPTED),

    /** The lease of the run lapsed. */
    LAPSED(TaskEvent.INTERRUPTED),

    /** The run was stopped because another member of its gang ended. */
    BROKEN(TaskEvent.INTERRUPTED),

    /** The other members of the run's gang did not start. */
    ALONE(TaskEvent.INTERRUPTED),

    /** The upstream of the run is gone, or never started the run. */
    GONE(TaskEvent.INTERRUPTED);

    private final TaskEvent event;

    RunEnd(TaskEvent event) {
        this.event = event;
    }

    /**
     * Returns the event that this end causes for the task.
     *
     * @return the event of the state chart {@code task}, never null
     */
    public TaskEvent event() {
        return event;
    }

    /**
     * Returns how this end counts for a task of a step. Endless tasks are restarted however they
     * end, so that their success counts as an interruption.
     *
     * @param step the step, not null
     * @return the end that counts, never null
     */
    public RunEnd forStep(StepSpec step) {
        return this == DONE && step.endless() ? STOPPED : this;
    }

    /**
     * Returns the name that is used on the wire.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
