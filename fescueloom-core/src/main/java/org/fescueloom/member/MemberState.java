package org.fescueloom.member;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Enumerates the liveness states of a member. */
public enum MemberState {
    /** The member has announced itself recently. */
    ALIVE,
    /**
     * The member has not announced itself for some time. It gets no new work and keeps the work
     * that it has.
     */
    SUSPECT,
    /** The member has announced that it takes no new work. */
    LEAVING;

    /**
     * Returns the JSON value of this state.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
