package org.fescueloom.report;

import java.util.List;

/**
 * Answers {@code GET /v1/workers}.
 *
 * @param workers the workers that announce themselves; null counts as none
 */
public record WorkersReport(List<WorkerSummary> workers) {
    /** Checks what is required and copies the collections. */
    public WorkersReport {
        workers = workers == null ? List.of() : List.copyOf(workers);
    }
}
