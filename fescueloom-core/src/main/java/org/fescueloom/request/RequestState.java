package org.fescueloom.request;

/** Enumerates the states of a request at an entry, as defined in the chart "request". */
public enum RequestState {
    /** The request has been read and not yet checked. */
    RECEIVED,
    /** The claim of the request identifier is being recorded. */
    CLAIMING,
    /**
     * Another run holds the request identifier; the result of that run is the result of this
     * request.
     */
    JOINING,
    /** An attempt has been sent to an agent. */
    ATTEMPTING,
    /** The agent is being asked for the outcome of the attempt. */
    RESOLVING,
    /** The retry budget and the deadline decide whether to make another attempt. */
    RETRYING,
    /** The complete response has been returned to the caller. */
    ANSWERED,
    /** The request ran and failed. */
    FAILED,
    /** The request did not run and will never run. */
    NOT_RUN,
    /** The request may have run, and will not be sent again. */
    UNKNOWN
}
