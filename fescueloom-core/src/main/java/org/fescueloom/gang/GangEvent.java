package org.fescueloom.gang;

/** Names the events of the state chart {@code gang}. */
public enum GangEvent {
    /** Every member has its lease. */
    ALL_LEASED,
    /** A worker refused a lease. */
    LEASE_REFUSED,
    /** A lease lapsed. */
    LEASE_LAPSED,
    /** Every task runs. */
    ALL_RUNNING,
    /** A task ended with a failure. */
    TASK_FAILED,
    /** A worker is gone or restarted. */
    MEMBER_LOST,
    /** The deadline of the state has passed. */
    TIMED_OUT,
    /** The gang must stop because it is preempted, moved or cancelled. */
    STOP_REQUESTED,
    /** Every task has written its checkpoint. */
    ALL_CHECKPOINTED,
    /** Every task ended with success. */
    ALL_SUCCEEDED,
    /** Every lease is released or has lapsed. */
    ALL_RETURNED
}
