package org.fescueloom.schedule;

import java.util.List;

/**
 * Holds the decisions of one scheduling round.
 *
 * @param starts the tasks to start, in order of rank, not null
 * @param stops the running units to stop so that waiting units can start, not null
 */
public record SchedulePlan(List<Assignment> starts, List<RunningUnit> stops) {
    /** Copies the lists. */
    public SchedulePlan {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
    }
}
