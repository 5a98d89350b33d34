package org.fescueloom.job;

/** Tells what a record of the {@code jobs} stream did to the state folded from it. */
public enum RecordEffect {
    /** It changed the state. */
    APPLIED,
    /** It repeats what an earlier record said. */
    REPEATED,
    /** Its type or version is unknown, or a field is wrong. */
    UNREADABLE,
    /** It places a gang with an epoch below the highest one seen. */
    STALE_EPOCH,
    /** It places a gang for a job that does not wait. */
    NOT_WAITING,
    /** It ends an attempt that is not the current one of its job. */
    NOT_CURRENT_ATTEMPT,
    /** It concerns a job that no kept record describes. */
    UNKNOWN_JOB,
    /** It accepts a job under an identifier that has another body. */
    IDENTIFIER_REUSED,
    /** It cancels a job that is over. */
    ALREADY_FINISHED,
    /** It repeats a state that a later record has replaced. */
    OUTDATED_SNAPSHOT
}
