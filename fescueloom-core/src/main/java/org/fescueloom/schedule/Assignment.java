package org.fescueloom.schedule;

import java.util.Map;
import java.util.Objects;

/**
 * Says where tasks start.
 *
 * @param unit the tasks that waited, not null
 * @param agents the agent of each task that starts, by its index, not empty
 */
public record Assignment(WaitingUnit unit, Map<Integer, String> agents) {
    /** Checks the values. */
    public Assignment {
        Objects.requireNonNull(unit, "unit");
        agents = Map.copyOf(agents);
    }
}
