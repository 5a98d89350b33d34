package org.fescueloom.wire;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Enumerates the states of an attempt that an agent reports. */
public enum AttemptState {
    /**
     * The attempt has ended: the agent has the complete response of the upstream or the failure.
     */
    ANSWERED,
    /** The attempt is running at the upstream. */
    RUNNING,
    /** The attempt did not run and will never run. */
    CANCELLED,
    /**
     * The attempt may have run, for example under an earlier incarnation of the agent or at an
     * upstream that has stopped.
     */
    UNKNOWN;

    /**
     * Returns the value of this state in JSON and headers.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
