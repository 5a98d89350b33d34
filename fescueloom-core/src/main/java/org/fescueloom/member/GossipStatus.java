package org.fescueloom.member;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Enumerates the possible statuses of a member. At the same incarnation and sequence number a later
 * constant overrides an earlier one.
 */
public enum GossipStatus {
    /** The member responds to probes. */
    ALIVE,
    /** The member did not respond to probes and can still refute the suspicion. */
    SUSPECT,
    /** The member did not refute the suspicion in time. */
    DEAD,
    /** The member has announced that it takes no new work. */
    LEFT;

    /**
     * Tests whether the member is dead or has left.
     *
     * @return true for {@link #DEAD} and {@link #LEFT}
     */
    public boolean isGone() {
        return this == DEAD || this == LEFT;
    }

    /**
     * Returns the JSON value of this status.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
