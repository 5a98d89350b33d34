package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the state of a job as its caller is told. */
public enum JobStatus {
    /** No task has started. */
    QUEUED,

    /** A task has started. */
    RUNNING,

    /** Every task is done. */
    SUCCEEDED,

    /** Given up. */
    FAILED,

    /** Cancelled by its caller. */
    CANCELLED,

    /** There is no such job. */
    UNKNOWN;

    /**
     * Returns the name on the wire.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
