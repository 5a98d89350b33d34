package org.fescueloom.request;

/** Names what an agent does for an attempt, as in the chart "attempt". */
public enum AttemptAction {
    /** Send the attempt to the upstream. */
    SEND_TO_UPSTREAM,
    /** Remember that the attempt must never start. */
    LEAVE_TOMBSTONE,
    /** Keep what the upstream answered. */
    BUFFER_ANSWER
}
