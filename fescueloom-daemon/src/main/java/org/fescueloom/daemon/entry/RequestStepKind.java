package org.fescueloom.daemon.entry;

import java.util.Locale;

/** Names the steps on the way of a request. */
enum RequestStepKind {
    /** The request passed its checks. */
    ACCEPTED,
    /** The identifier was recorded for this run. */
    CLAIMED,
    /** The identifier belongs to another run, whose result is taken. */
    JOINED,
    /** An attempt was sent. */
    ATTEMPT_SENT,
    /** The whole answer of an attempt came. */
    ATTEMPT_ANSWERED,
    /** An attempt failed or was refused. */
    ATTEMPT_FAILED,
    /** The connection of an attempt broke or fell silent. */
    CONNECTION_LOST,
    /** Another attempt was decided on. */
    RETRY,
    /** The caller went away. */
    CALLER_GONE,
    /** The caller got its final answer. */
    FINISHED;

    /**
     * Returns the text that stands for this kind in explanations.
     *
     * @return the name in lower case with hyphens, never null
     */
    String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
