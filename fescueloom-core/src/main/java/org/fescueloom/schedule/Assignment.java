package org.fescueloom.schedule;

import java.util.Map;
import java.util.Objects;

/**
 * Assigns the tasks of a waiting unit to upstreams.
 *
 * @param unit the unit whose tasks start, not null
 * @param agents the agent of each task that starts, by the index of the task; not empty
 */
public record Assignment(WaitingUnit unit, Map<Integer, String> agents) {
    /** Checks that the unit is not null and copies the map. */
    public Assignment {
        Objects.requireNonNull(unit, "unit");
        agents = Map.copyOf(agents);
    }
}
