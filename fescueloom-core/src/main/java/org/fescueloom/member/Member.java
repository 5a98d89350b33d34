package org.fescueloom.member;

import java.util.Objects;
import org.fescueloom.wire.Announcement;

/**
 * Holds what is known of one member.
 *
 * @param announcement the last announcement, not null
 * @param lastHeardMillis when it arrived, in milliseconds of the monotonic clock
 * @param state what is known of its life, not null
 */
public record Member(Announcement announcement, long lastHeardMillis, MemberState state) {
    /** Checks that announcement and state are given. */
    public Member {
        Objects.requireNonNull(announcement, "announcement");
        Objects.requireNonNull(state, "state");
    }

    /**
     * Returns the identifier of the member.
     *
     * @return the identifier, never null
     */
    public String id() {
        return announcement.member();
    }

    /**
     * Returns where the member listens.
     *
     * @return the address and port, never null
     */
    public String address() {
        return announcement.address();
    }

    /**
     * Returns the availability zone of the member.
     *
     * @return the name of the zone, never null
     */
    public String zone() {
        return announcement.zone();
    }

    /**
     * Tells whether the member may get new work.
     *
     * @return true if it is alive and not leaving
     */
    public boolean acceptsNewWork() {
        return state == MemberState.ALIVE;
    }
}
