package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;

/** Names the states of a gang job: those of the state chart {@code job}. */
public enum JobState {
    /** The job is accepted and no gang is placed. */
    WAITING,
    /** A gang is placed, starting or running. */
    PLACED,
    /** The caller cancelled the job while a gang was placed; the gang has not ended yet. */
    CANCELLING,
    /** The job ended with success. */
    SUCCEEDED,
    /** The job ended after too many failures. */
    FAILED,
    /** The job ended by cancellation. */
    CANCELLED;

    /** Holds the state chart, which is loaded at its first use. */
    private static final class Chart {
        private static final StateChart<JobState, JobEvent, JobAction> INSTANCE =
                StateChart.load("job", JobState.class, JobEvent.class, JobAction.class);
    }

    /**
     * Returns the transition for an event.
     *
     * @param event the event, not null
     * @return the transition to the next state, with its action, never null
     */
    public Transition<JobState, JobAction> next(JobEvent event) {
        return Chart.INSTANCE.next(this, event);
    }

    /**
     * Tells whether this state is final.
     *
     * @return whether no later record can change the state of the job
     */
    public boolean isFinal() {
        return Chart.INSTANCE.isTerminal(this);
    }

    /**
     * Tells whether a job in this state has a gang that may hold leases.
     *
     * @return whether a gang is placed
     */
    public boolean hasGang() {
        return this == PLACED || this == CANCELLING;
    }

    /**
     * Returns the name of this state in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
