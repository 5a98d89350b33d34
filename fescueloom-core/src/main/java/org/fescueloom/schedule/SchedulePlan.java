package org.fescueloom.schedule;

import java.util.List;

/**
 * Holds what a round has decided.
 *
 * @param starts the tasks to start, in order of rank
 * @param stops the running units to stop so that others can start
 */
public record SchedulePlan(List<Assignment> starts, List<RunningUnit> stops) {
    /** Copies the lists. */
    public SchedulePlan {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
    }
}
