package org.fescueloom.job;

/** Names the effects that a record of the {@code jobs} stream can have on the folded state. */
public enum RecordEffect {
    /** The record changed the state. */
    APPLIED,
    /** The record repeats an earlier record. */
    REPEATED,
    /** The type or version of the record is unknown, or a field is invalid. */
    UNREADABLE,
    /**
     * The record places a gang, or starts a planner, with an epoch below the highest epoch seen.
     */
    STALE_EPOCH,
    /** The record places a gang for a job that does not wait. */
    NOT_WAITING,
    /** The record ends a gang attempt that is not the current one of its job. */
    NOT_CURRENT_ATTEMPT,
    /** The record belongs to a job that is not part of the folded state. */
    UNKNOWN_JOB,
    /** The record accepts a job under the identifier of a job with another specification. */
    IDENTIFIER_REUSED,
    /** The record cancels a job that has ended. */
    ALREADY_FINISHED,
    /** The record is a snapshot of a state that a later record has changed. */
    OUTDATED_SNAPSHOT
}
