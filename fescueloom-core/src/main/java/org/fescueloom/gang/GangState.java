package org.fescueloom.gang;

/** Names the states of the state chart {@code gang}. */
public enum GangState {
    /** Leases are requested; no task runs. */
    LEASING,
    /** All leases are granted; tasks are being started. */
    STARTING,
    /** Every task runs. */
    RUNNING,
    /** Tasks write a checkpoint before they are stopped. */
    CHECKPOINTING,
    /** Tasks are being stopped and leases released. */
    RETURNING,
    /** Every task ended with success. */
    SUCCEEDED,
    /** No task and no lease of the attempt is left, and not every task ended with success. */
    ENDED
}
