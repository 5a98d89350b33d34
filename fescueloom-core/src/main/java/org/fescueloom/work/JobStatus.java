package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the states of a job that are reported to its caller. */
public enum JobStatus {
    /** No task was ever assigned to an upstream. */
    QUEUED,

    /** At least one task was assigned to an upstream. */
    RUNNING,

    /** Every task is done. */
    SUCCEEDED,

    /** The failed runs of a task or of a gang have reached the queue's maximum. */
    FAILED,

    /** The caller has cancelled the job. */
    CANCELLED,

    /** There is no such job. */
    UNKNOWN;

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
