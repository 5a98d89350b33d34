package org.fescueloom.report;

import java.util.Objects;

/**
 * Reports one decision about a request or a job.
 *
 * @param atMillis the time, in milliseconds since the epoch
 * @param event the name of the event, as words joined by hyphens, not null
 * @param detail a description of the decision and its reason, not null
 */
public record ExplanationStep(long atMillis, String event, String detail) {
    /** Checks that event and detail are not null. */
    public ExplanationStep {
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(event, "event");
    }
}
