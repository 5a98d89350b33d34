package org.fescueloom.placement;

/** Is what a plan says about one job. */
public sealed interface Decision
        permits StartGang, PreemptGang, MoveGang, ReserveGang, WaitForCapacity, RejectJob {
    /**
     * Returns the job that the decision is about.
     *
     * @return the identifier, never null
     */
    String job();
}
