package org.fescueloom.placement;

/**
 * Decides which jobs start or wait and which gangs are stopped or moved. Implementations keep no
 * state between planning rounds.
 */
public interface Planner {
    /**
     * Plans one round.
     *
     * @param input the whole input of the round, not null
     * @return the plan, never null
     */
    Plan plan(PlanInput input);
}
