package org.fescueloom.failure;

import com.fasterxml.jackson.annotation.JsonValue;

/** Tells a caller what became of a request that has no regular answer. */
public enum Outcome {
    /** The request did not run and never will. */
    NOT_RUN("not-run"),
    /** The request may have run; nobody that could tell is left. */
    UNKNOWN("unknown"),
    /** The request ran, and the upstream reported a failure. */
    RAN("ran");

    private final String text;

    Outcome(String text) {
        this.text = text;
    }

    /**
     * Returns the text that stands for this outcome in JSON and headers.
     *
     * @return the text, never null
     */
    @JsonValue
    public String text() {
        return text;
    }
}
