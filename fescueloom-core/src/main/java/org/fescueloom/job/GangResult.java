package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Tells how a gang attempt ended and what that means for its job. */
public enum GangResult {
    /** Every task ended with success; the job is done. */
    SUCCEEDED(JobState.SUCCEEDED),
    /** A task ended with a failure; the job waits again unless it failed too often. */
    FAILED(JobState.WAITING),
    /** The gang was stopped to return its accelerators; the job waits again. */
    PREEMPTED(JobState.WAITING),
    /** A member or its worker was lost; the job waits again. */
    LOST(JobState.WAITING),
    /** The gang was stopped to run elsewhere; the job waits again. */
    MOVED(JobState.WAITING),
    /** The caller cancelled the job. */
    CANCELLED(JobState.CANCELLED);

    private final JobState next;

    GangResult(JobState next) {
        this.next = next;
    }

    /**
     * Returns the state of a job after its gang ended so.
     *
     * @param current the state before, not null
     * @return {@code SUCCEEDED} if the gang succeeded, even when the job was being cancelled;
     *     {@code CANCELLED} for any other result of a job that was being cancelled; never null
     */
    public JobState stateAfter(JobState current) {
        if (current == JobState.CANCELLING && next == JobState.WAITING) {
            return JobState.CANCELLED;
        }
        return next;
    }

    /**
     * Returns the text that stands for this result in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
