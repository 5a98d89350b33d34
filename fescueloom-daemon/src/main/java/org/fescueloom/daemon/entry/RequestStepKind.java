package org.fescueloom.daemon.entry;

import java.util.Locale;

/** Enumerates the kinds of processing steps of a request. */
enum RequestStepKind {
    /** The request has passed its checks. */
    ACCEPTED,
    /** The request identifier has been claimed for this run. */
    CLAIMED,
    /** Another run holds the request identifier, and its result is used. */
    JOINED,
    /** An attempt has been sent. */
    ATTEMPT_SENT,
    /** The complete response to an attempt has arrived, with a status below 400. */
    ATTEMPT_ANSWERED,
    /** An attempt has failed or has been refused. */
    ATTEMPT_FAILED,
    /** The connection of an attempt has failed or timed out. */
    CONNECTION_LOST,
    /** Another attempt will be made. */
    RETRY,
    /** The caller has closed its connection. */
    CALLER_GONE,
    /** The final result of the request is known. */
    FINISHED;

    /**
     * Returns the name of this kind in explanations.
     *
     * @return the name in lower case with hyphens, never null
     */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
