package org.fescueloom.wire;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the kinds of processes that announce themselves. */
public enum MemberKind {
    /** A daemon with the role entry. */
    ENTRY,
    /** A daemon with the role agent. */
    AGENT,
    /** A worker of the platform. */
    WORKER;

    /**
     * Returns the text that stands for this kind in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
