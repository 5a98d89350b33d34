package org.fescueloom.placement;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names why a running gang is stopped. */
public enum PreemptReason {
    /** A customer claims guaranteed accelerators that the gang has borrowed. */
    GUARANTEE_CLAIMED,
    /** Urgent work needs the accelerators that the gang has borrowed. */
    URGENT_WORK,
    /** The gang has borrowed accelerators for long, and a much shorter job waits for them. */
    SHORTER_WORK;

    /**
     * Returns the text that stands for this reason in JSON.
     *
     * @return the name in lower case with hyphens, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
