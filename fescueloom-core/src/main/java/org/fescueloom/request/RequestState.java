package org.fescueloom.request;

/** Names the states of a request at an entry, as in the chart "request". */
public enum RequestState {
    /** Read, to be checked. */
    RECEIVED,
    /** Its identifier is being recorded. */
    CLAIMING,
    /** Another run has the identifier. */
    JOINING,
    /** One attempt is at an agent. */
    ATTEMPTING,
    /** The agent is asked what became of the attempt. */
    RESOLVING,
    /** Budget and deadline decide on another attempt. */
    RETRYING,
    /** The caller has the whole answer. */
    ANSWERED,
    /** Ran, and the upstream reported a failure. */
    FAILED,
    /** Did not run and never will. */
    NOT_RUN,
    /** May have run, and never is sent again. */
    UNKNOWN
}
