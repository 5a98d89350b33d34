package org.fescueloom.wire;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Tells what an agent knows of an attempt. */
public enum AttemptState {
    /** The upstream's whole answer is in the agent's buffer. */
    ANSWERED,
    /** The attempt is at the upstream now. */
    RUNNING,
    /** The attempt did not run and never will. */
    CANCELLED,
    /** The attempt may have run under an earlier incarnation or at an upstream that is gone. */
    UNKNOWN;

    /**
     * Returns the text that stands for this state in JSON and headers.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
