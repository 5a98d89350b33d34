package org.fescueloom.placement;

/** Represents one decision of a planner about a job. */
public sealed interface Decision
        permits StartGang, PreemptGang, MoveGang, ReserveGang, WaitForCapacity, RejectJob {
    /**
     * Returns the job that the decision is about.
     *
     * @return the identifier, never null
     */
    String job();
}
