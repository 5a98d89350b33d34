package org.fescueloom.job;

/**
 * Records that a planner begins; placements of lower epochs after this record are void.
 *
 * @param epoch the epoch of the planner
 * @param startedAtMillis the time of the start, in milliseconds since the epoch
 */
public record PlannerStarted(long epoch, long startedAtMillis) implements JobRecord {}
