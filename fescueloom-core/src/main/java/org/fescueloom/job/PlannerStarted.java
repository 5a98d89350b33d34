package org.fescueloom.job;

/**
 * Records that a planner has started. Placements with a lower epoch after this record are ignored.
 *
 * @param epoch the epoch of the planner
 * @param startedAtMillis the time of the start, in milliseconds since the epoch
 */
public record PlannerStarted(long epoch, long startedAtMillis) implements JobRecord {}
