package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the results of a gang attempt, each with the event that it causes for the job. */
public enum GangResult {
    /** Every task ended with success; the job is done. */
    SUCCEEDED(JobEvent.GANG_SUCCEEDED),
    /** A task ended with a failure; the job waits again unless the job has failed too often. */
    FAILED(JobEvent.GANG_FAILED),
    /** The gang was stopped to free its accelerators; the job waits again. */
    PREEMPTED(JobEvent.GANG_INTERRUPTED),
    /** A member or its worker was lost; the job waits again. */
    LOST(JobEvent.GANG_INTERRUPTED),
    /** The gang was stopped to run on other workers; the job waits again. */
    MOVED(JobEvent.GANG_INTERRUPTED),
    /** The caller cancelled the job. */
    CANCELLED(JobEvent.GANG_CANCELLED);

    private final JobEvent event;

    GangResult(JobEvent event) {
        this.event = event;
    }

    /**
     * Returns the event that this result causes for the job.
     *
     * @return the event of the state chart {@code job}, never null
     */
    public JobEvent event() {
        return event;
    }

    /**
     * Returns the name of this result in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
