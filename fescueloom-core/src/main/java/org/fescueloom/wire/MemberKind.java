package org.fescueloom.wire;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Enumerates the kinds of processes that announce themselves. */
public enum MemberKind {
    /** A daemon in the entry role. */
    ENTRY,
    /** A daemon in the agent role. */
    AGENT,
    /** A worker of the platform. */
    WORKER;

    /**
     * Returns the JSON value of this kind.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
