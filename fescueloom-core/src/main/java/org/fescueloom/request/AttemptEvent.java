package org.fescueloom.request;

/** Names what can happen to an attempt at an agent, as in the chart "attempt". */
public enum AttemptEvent {
    /** The attempt came in. */
    ARRIVED,
    /** A slot of the upstream fell to the attempt. */
    SLOT_GRANTED,
    /** An entry says that nobody waits for the attempt. */
    CANCEL_REQUESTED,
    /** An entry asks for the fate of the attempt. */
    RESOLVE_REQUESTED,
    /** The deadline can no longer be met. */
    DEADLINE_PASSED,
    /** The agent does not start the attempt because it stops or may not start work. */
    SHUTDOWN,
    /** The upstream gave a whole answer. */
    WHOLE_ANSWER,
    /** The upstream gave something that is not a whole answer to this attempt. */
    INVALID_ANSWER,
    /** The upstream refused the connection before the attempt was sent. */
    CONNECTION_REFUSED,
    /** The connection to the upstream broke after the attempt was sent. */
    UPSTREAM_LOST
}
