package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;

/** Names the phases of a task: the states of the state chart {@code task}. */
public enum TaskPhase {
    /** No run of the task exists. */
    WAITING,

    /** A run of the task is recorded and may exist. */
    ASSIGNED,

    /** The task ended with success. */
    DONE;

    /** Holds the state chart, which is loaded at its first use. */
    private static final class Chart {
        private static final StateChart<TaskPhase, TaskEvent, TaskAction> INSTANCE =
                StateChart.load("task", TaskPhase.class, TaskEvent.class, TaskAction.class);
    }

    /**
     * Returns the transition for an event.
     *
     * @param event the event, not null
     * @return the transition, never null
     */
    public Transition<TaskPhase, TaskAction> next(TaskEvent event) {
        return Chart.INSTANCE.next(this, event);
    }

    /**
     * Returns the name that is used in stored records.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
