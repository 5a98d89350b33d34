package org.fescueloom.request;

/** Enumerates the events of a request at an entry, as defined in the chart "request". */
public enum RequestEvent {
    /** The request has passed its checks. */
    ACCEPTED,
    /** The request identifier must be claimed before the next attempt. */
    CLAIM_NEEDED,
    /** The request has failed its checks, or its identifier was used for a different request. */
    REFUSED,
    /** This run holds the request identifier. */
    CLAIMED,
    /** Another run holds the request identifier. */
    CLAIM_TAKEN,
    /** Too few agents have recorded the claim. */
    CLAIM_FAILED,
    /**
     * The attempt of the other run did not run and will never run, and this run now holds the
     * request identifier.
     */
    TAKEN_OVER,
    /** The complete response has arrived. */
    ANSWERED,
    /** The attempt ran and failed, and the request must not be sent again. */
    FAILED,
    /** The attempt did not run and will never run. */
    NOT_RUN,
    /** The attempt failed or its outcome is unknown, and the request may be sent again. */
    REPEATABLE,
    /** The connection to the agent failed or timed out. */
    LOST,
    /** It is unknown whether the attempt ran, and the request must not be sent again. */
    UNKNOWN,
    /** Another attempt will be made. */
    RETRY_ALLOWED,
    /** No further attempt will be made, and no attempt has run. */
    EXHAUSTED,
    /** No further attempt will be made, and an attempt has run and failed. */
    EXHAUSTED_FAILED,
    /** No further attempt will be made, and an attempt may have run. */
    EXHAUSTED_UNKNOWN
}
