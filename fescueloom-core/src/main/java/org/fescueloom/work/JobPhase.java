package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the phases of a job. */
public enum JobPhase {
    /** The job is accepted, and at least one task is not done. */
    ACTIVE,

    /** Every task is done. */
    SUCCEEDED,

    /** The failed runs of a task or of a gang have reached the queue's maximum. */
    FAILED,

    /** The caller has cancelled the job. */
    CANCELLED;

    /**
     * Tells whether no further task may start.
     *
     * @return whether the job has ended
     */
    public boolean ended() {
        return this != ACTIVE;
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
