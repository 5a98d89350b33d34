package org.fescueloom.member;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Says what is known of the life of a member. */
public enum MemberState {
    /** Heard of recently. */
    ALIVE,
    /** Not heard of for a while; gets no new work, and keeps what it has. */
    SUSPECT,
    /** Said that it takes no new work. */
    LEAVING;

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
