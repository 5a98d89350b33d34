package org.fescueloom.daemon.entry;

import java.util.Objects;
import org.fescueloom.wire.Announcement;

/**
 * Holds what an entry knows of one agent.
 *
 * @param announcement the last announcement of the agent, not null
 * @param heardAtMillis when it arrived, in milliseconds of the monotonic clock
 */
public record AgentView(Announcement announcement, long heardAtMillis) {
    /** Checks that the announcement is given. */
    public AgentView {
        Objects.requireNonNull(announcement, "announcement");
    }

    /**
     * Returns the identifier of the upstream beside the agent.
     *
     * @return the identifier; null if the agent has no upstream
     */
    public String upstream() {
        return announcement.agent() == null ? null : announcement.agent().upstream();
    }
}
