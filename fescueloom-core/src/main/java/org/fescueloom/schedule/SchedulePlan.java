package org.fescueloom.schedule;

import java.util.List;
import java.util.Map;

/**
 * Holds the decisions of one scheduling round.
 *
 * @param starts the tasks to start, in order of rank, not null
 * @param stops the running units to stop so that waiting units can start, not null
 * @param reservations the agents on whose upstreams gangs hold reservations, one for each task, by
 *     {@link WaitingUnit#id}; not null
 */
public record SchedulePlan(
        List<Assignment> starts, List<RunningUnit> stops, Map<String, List<String>> reservations) {
    /** Copies the collections. */
    public SchedulePlan {
        starts = List.copyOf(starts);
        stops = List.copyOf(stops);
        reservations = Map.copyOf(reservations);
    }
}
