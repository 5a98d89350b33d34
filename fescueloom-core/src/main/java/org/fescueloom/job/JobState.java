package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;

/** Names the states of a job. */
public enum JobState {
    /** Accepted, without a gang. */
    WAITING,
    /** A gang is placed, starting or running. */
    PLACED,
    /** Cancelled by the caller while a gang was placed; the gang has not ended yet. */
    CANCELLING,
    /** Ended with success. */
    SUCCEEDED,
    /** Ended after too many failures. */
    FAILED,
    /** Ended by cancellation. */
    CANCELLED;

    private static final class Chart {
        private static final StateChart<JobState, JobEvent, JobAction> INSTANCE =
                StateChart.load("job", JobState.class, JobEvent.class, JobAction.class);
    }

    /**
     * Returns what an event leads to, by the chart {@code job}.
     *
     * @param event the event, not null
     * @return the next state and what is to be done, never null
     */
    public Transition<JobState, JobAction> next(JobEvent event) {
        return Chart.INSTANCE.next(this, event);
    }

    /**
     * Tells whether the job is over for good.
     *
     * @return whether no later record can change the state
     */
    public boolean isFinal() {
        return Chart.INSTANCE.isTerminal(this);
    }

    /**
     * Tells whether the job has a gang that may hold leases.
     *
     * @return whether a gang is placed
     */
    public boolean hasGang() {
        return this == PLACED || this == CANCELLING;
    }

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
