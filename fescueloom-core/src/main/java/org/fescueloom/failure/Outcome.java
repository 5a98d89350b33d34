package org.fescueloom.failure;

import com.fasterxml.jackson.annotation.JsonValue;

/** Tells a caller whether a request that failed was run. */
public enum Outcome {
    /** The request did not run and never will. */
    NOT_RUN("not-run"),
    /** The request may have run; no process knows whether it did. */
    UNKNOWN("unknown"),
    /** The request ran, and the upstream reported a failure. */
    RAN("ran");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /**
     * Returns the name of this outcome in JSON and in headers.
     *
     * @return the text, never null
     */
    @JsonValue
    public String text() {
        return text;
    }
}
