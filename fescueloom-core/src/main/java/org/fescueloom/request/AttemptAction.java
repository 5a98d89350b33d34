package org.fescueloom.request;

/**
 * Enumerates the actions that an agent performs for an attempt, as defined in the chart "attempt".
 */
public enum AttemptAction {
    /** Sends the attempt to the upstream. */
    SEND_TO_UPSTREAM,
    /** Leaves a tombstone: the agent remembers that the attempt must never start. */
    LEAVE_TOMBSTONE,
    /** Stores the response of the upstream. */
    BUFFER_ANSWER
}
