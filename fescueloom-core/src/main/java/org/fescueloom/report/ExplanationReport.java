package org.fescueloom.report;

import java.util.List;
import java.util.Objects;

/**
 * Answers {@code GET /v1/explain/{id}}: what was decided about a request or a job, and why.
 *
 * @param id the identifier, not null
 * @param kind "request" or "job", not null
 * @param state the text of the state, not null
 * @param summary why it is in this state, in words, not null
 * @param steps what happened, the earliest first; null counts as none
 */
public record ExplanationReport(
        String id, String kind, String state, String summary, List<ExplanationStep> steps) {
    /** Checks what is required and copies the collections. */
    public ExplanationReport {
        Objects.requireNonNull(summary, "summary");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(id, "id");
        steps = steps == null ? List.of() : List.copyOf(steps);
    }
}
