package org.fescueloom.gang;

/** Names the events of one member of a gang. */
public enum MemberEvent {
    /** The worker granted the lease. */
    LEASED,
    /** The worker refused the lease. */
    REFUSED,
    /** The lease lapsed. */
    LAPSED,
    /** The task runs. */
    RUNNING,
    /** The task ended with a failure. */
    FAILED,
    /** The worker is gone or restarted. */
    LOST,
    /** The task has written its checkpoint. */
    CHECKPOINTED,
    /** The task ended with success. */
    SUCCEEDED,
    /** The lease is released, or is known to have lapsed. */
    RETURNED
}
