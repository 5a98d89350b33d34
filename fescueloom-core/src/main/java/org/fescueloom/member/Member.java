package org.fescueloom.member;

import java.util.Objects;
import org.fescueloom.wire.Announcement;

/**
 * Describes one member of the system.
 *
 * @param announcement the last announcement, not null
 * @param lastHeardMillis the time at which the last announcement arrived, in milliseconds of the
 *     monotonic clock
 * @param state the liveness state of the member, not null
 */
public record Member(Announcement announcement, long lastHeardMillis, MemberState state) {
    /** Checks that the announcement and the state are not null. */
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
     * Returns the address on which the member listens.
     *
     * @return the address as "address:port", never null
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
     * Tests whether the member may get new work.
     *
     * @return true if the member is alive, that is, neither suspected nor leaving
     */
    public boolean acceptsNewWork() {
        return state == MemberState.ALIVE;
    }
}
