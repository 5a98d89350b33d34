package org.fescueloom.member;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Says what the members believe of one member; a later constant overrides an earlier one. */
public enum GossipStatus {
    /** The member answers. */
    ALIVE,
    /** The member left a probe unanswered; it may still refute this. */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    DEAD,
    /** The member said that it takes no new work. */
    LEFT;

    /**
     * Tells whether the member counts as gone.
     *
     * @return true for dead members and those that left
     */
    public boolean isGone() {
        return this == DEAD || this == LEFT;
    }

    /**
     * Returns the text that stands for this status in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
