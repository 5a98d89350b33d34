package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

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

    /**
     * Tells whether the job is over for good.
     *
     * @return whether no later record can change the state
     */
    public boolean isFinal() {
        return this == SUCCEEDED || this == FAILED || this == CANCELLED;
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
