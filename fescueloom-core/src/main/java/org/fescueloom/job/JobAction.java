package org.fescueloom.job;

/** Names the actions of the state chart {@code job}. */
public enum JobAction {
    /** Let the planner place the job again. */
    REQUEUE,
    /** Stop the gang that is placed. */
    STOP_GANG
}
