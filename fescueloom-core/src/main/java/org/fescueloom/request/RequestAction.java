package org.fescueloom.request;

/**
 * Enumerates the actions that an entry performs for a request, as defined in the chart "request".
 */
public enum RequestAction {
    /** Claims the request identifier at the agents that are responsible for it. */
    CLAIM_IDENTIFIER,
    /** Obtains the result of the run that holds the request identifier. */
    JOIN_FIRST_RUN,
    /** Chooses an upstream and sends an attempt to its agent. */
    SEND_ATTEMPT,
    /** Asks the agent for the outcome of the attempt, on a new connection. */
    RESOLVE_ATTEMPT,
    /** Decides by the retry budget and the deadline whether to make another attempt. */
    CONSIDER_RETRY,
    /** Returns the final response to the caller immediately. */
    REPORT
}
