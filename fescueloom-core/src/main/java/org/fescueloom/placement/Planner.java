package org.fescueloom.placement;

/** Decides what starts, stops, moves and waits. Implementations keep no state between rounds. */
public interface Planner {
    /**
     * Plans one round.
     *
     * @param input everything that the plan depends on, not null
     * @return the plan, never null
     */
    Plan plan(PlanInput input);
}
