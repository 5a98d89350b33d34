package org.fescueloom.request;

/** Names what an entry does next for a request, as in the chart "request". */
public enum RequestAction {
    /** Record the identifier at the agents that are responsible for it. */
    CLAIM_IDENTIFIER,
    /** Find out what the run that has the identifier came to. */
    JOIN_FIRST_RUN,
    /** Choose an upstream and send an attempt to its agent. */
    SEND_ATTEMPT,
    /** Ask the agent on a fresh connection what became of the attempt. */
    RESOLVE_ATTEMPT,
    /** Ask the retry budget and the deadline whether to try again. */
    CONSIDER_RETRY,
    /** Give the caller the final answer at once. */
    REPORT
}
