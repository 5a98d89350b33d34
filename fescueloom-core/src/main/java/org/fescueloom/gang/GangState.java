package org.fescueloom.gang;

/** Names the states of the chart {@code gang}. */
public enum GangState {
    /** Leases are asked for; nothing runs. */
    LEASING,
    /** All leases are held; tasks are being started. */
    STARTING,
    /** Every task runs. */
    RUNNING,
    /** Tasks write a checkpoint before they are stopped. */
    CHECKPOINTING,
    /** Tasks are stopped and leases returned. */
    RETURNING,
    /** Every task ended with success. */
    SUCCEEDED,
    /** Nothing of the attempt is left. */
    ENDED
}
