package org.fescueloom.report;

import java.util.Objects;

/**
 * Reports one decision about a request or a job.
 *
 * @param atMillis the time, in milliseconds since the epoch
 * @param event the name of the event, in words with hyphens, not null
 * @param detail what was decided and why, in words, not null
 */
public record ExplanationStep(long atMillis, String event, String detail) {
    /** Checks what is required and copies the collections. */
    public ExplanationStep {
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(event, "event");
    }
}
