package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;

/** Names where a task stands; the chart "task" holds the transitions. */
public enum TaskPhase {
    /** No run of it exists. */
    WAITING,

    /** A run of it is recorded and may exist. */
    ASSIGNED,

    /** It is done for good. */
    DONE;

    /** Loads the chart when it is first needed. */
    private static final class Chart {
        private static final StateChart<TaskPhase, TaskEvent, TaskAction> INSTANCE =
                StateChart.load("task", TaskPhase.class, TaskEvent.class, TaskAction.class);
    }

    /**
     * Returns what follows an event.
     *
     * @param event the event, not null
     * @return the transition, never null
     */
    public Transition<TaskPhase, TaskAction> next(TaskEvent event) {
        return Chart.INSTANCE.next(this, event);
    }

    /**
     * Returns the name in records.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
