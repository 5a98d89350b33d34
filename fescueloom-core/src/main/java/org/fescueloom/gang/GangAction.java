package org.fescueloom.gang;

/** Names the actions of the state chart {@code gang}. */
public enum GangAction {
    /** Start the task of every member. */
    START_TASKS,
    /** Hand the gang over to its lease keepers. */
    CONFIRM,
    /** Take a checkpoint of every task. */
    CHECKPOINT_TASKS,
    /** Stop every task and release every lease. */
    STOP_TASKS,
    /** Release every lease. */
    RETURN_LEASES
}
