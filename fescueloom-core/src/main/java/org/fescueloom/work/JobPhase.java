package org.fescueloom.work;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names where a job stands. */
public enum JobPhase {
    /** Accepted; some task is not done yet. */
    ACTIVE,

    /** Every task is done. */
    SUCCEEDED,

    /** A task, or a gang, has used up its attempts. */
    FAILED,

    /** Its caller has cancelled it. */
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
     * Returns the name in records.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
