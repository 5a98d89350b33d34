package org.fescueloom.request;

/** Enumerates the events of an attempt at an agent, as defined in the chart "attempt". */
public enum AttemptEvent {
    /** The attempt has arrived at the agent. */
    ARRIVED,
    /** The attempt has been given a slot of the upstream. */
    SLOT_GRANTED,
    /** An entry has reported that no caller waits for the attempt any more. */
    CANCEL_REQUESTED,
    /** An entry has asked for the outcome of the attempt. */
    RESOLVE_REQUESTED,
    /** The deadline can no longer be met. */
    DEADLINE_PASSED,
    /** The agent does not start the attempt because the agent is stopping or may not start work. */
    SHUTDOWN,
    /** The upstream has sent a complete response. */
    WHOLE_ANSWER,
    /** The upstream has sent data that is not a complete response to this attempt. */
    INVALID_ANSWER,
    /** The upstream has refused the connection before the attempt was sent. */
    CONNECTION_REFUSED,
    /** The connection to the upstream has failed after the attempt was sent. */
    UPSTREAM_LOST
}
