package org.fescueloom.request;

/** Names what can happen to a request at an entry, as in the chart "request". */
public enum RequestEvent {
    /** The request passed its checks. */
    ACCEPTED,
    /** An attempt is to be made, and the identifier must be recorded with it first. */
    CLAIM_NEEDED,
    /** The request failed its checks, or its identifier was used with another body. */
    REFUSED,
    /** The identifier is recorded for this run. */
    CLAIMED,
    /** The identifier is recorded for another run. */
    CLAIM_TAKEN,
    /** Too few agents recorded the identifier. */
    CLAIM_FAILED,
    /** The other run is gone for good before it ran, and this run has the identifier now. */
    TAKEN_OVER,
    /** The whole answer is here. */
    ANSWERED,
    /** The attempt ran and failed, and must not be repeated. */
    FAILED,
    /** The attempt did not run and never will. */
    NOT_RUN,
    /** The attempt failed or is lost, and the request may run again. */
    REPEATABLE,
    /** The connection broke or fell silent. */
    LOST,
    /** Nobody can tell whether the attempt ran, and it must not be repeated. */
    UNKNOWN,
    /** Another attempt is made. */
    RETRY_ALLOWED,
    /** No other attempt is made, and none has run. */
    EXHAUSTED,
    /** No other attempt is made, and one has run and failed. */
    EXHAUSTED_FAILED,
    /** No other attempt is made, and one may have run. */
    EXHAUSTED_UNKNOWN
}
