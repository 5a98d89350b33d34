package org.fescueloom.placement;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Defines the reasons for which a running gang is preempted. */
public enum PreemptReason {
    /** A customer claims its guaranteed accelerators, which the gang uses as a borrower. */
    GUARANTEE_CLAIMED,
    /** An urgent job of the same customer needs the accelerators of the gang. */
    URGENT_WORK,
    /**
     * The gang is a borrower that has run for long, and a much shorter job waits for its
     * accelerators.
     */
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
