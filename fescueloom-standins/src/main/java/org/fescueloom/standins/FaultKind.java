package org.fescueloom.standins;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Lists the kinds of faults that a stand-in can inject. */
public enum FaultKind {
    /** Responds with status 503 without executing the call. */
    REFUSE,
    /** Delays the execution of the call by the milliseconds of the fault. */
    DELAY,
    /** Executes the call and then closes the connection without a response. */
    LOSE_ANSWER,
    /** Closes the connection without executing the call. */
    CLOSE,
    /** Accepts the call, does not execute it, and never responds. */
    FREEZE,
    /**
     * Log service: removes the oldest records of each stream, once, when the fault is set. Each
     * stream keeps as many of the newest records as the amount of the fault.
     */
    EXPIRE_RECORDS,
    /** Worker: each started task fails soon after its start. */
    FAIL_TASKS,
    /** Worker: reports that the task has started, but the task never runs. */
    LOSE_START,
    /** Upstream: responds at once with status 500 and records the run. */
    FAIL_FAST,
    /**
     * Upstream: sends a Content-Length header with the full length, then half of the body, and
     * closes the connection.
     */
    CUT_SHORT,
    /**
     * Upstream: sends the response of an earlier attempt instead of the response to this attempt;
     * the very first attempt is not affected.
     */
    FOREIGN_ANSWER,
    /** Upstream: sends the response twice. */
    DOUBLE_ANSWER,
    /** Upstream: multiplies the service time by the factor of the fault. */
    SLOW,
    /** Upstream: executes the request and never responds. */
    NEVER_ANSWER,
    /** Upstream: sends bytes that are not a valid HTTP response. */
    NONSENSE;

    /**
     * Returns the JSON value of this kind.
     *
     * @return the name in lower case with hyphens, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
