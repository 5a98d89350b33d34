package org.fescueloom.report;

import java.util.List;
import java.util.Objects;

/**
 * Holds the response to {@code GET /v1/explain/{id}}: the decisions about a request or a job and
 * their reasons.
 *
 * @param id the identifier of the request or job, not null
 * @param kind "request" or "job", not null
 * @param state the text of the state, not null
 * @param summary a description of why the request or job is in this state, not null
 * @param steps the decisions, the earliest first; null means none
 */
public record ExplanationReport(
        String id, String kind, String state, String summary, List<ExplanationStep> steps) {
    /** Checks that the required values are not null and copies the list. */
    public ExplanationReport {
        Objects.requireNonNull(summary, "summary");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(id, "id");
        steps = steps == null ? List.of() : List.copyOf(steps);
    }
}
