package org.fescueloom.report;

import java.util.List;

/**
 * Holds the response to {@code GET /v1/workers}.
 *
 * @param workers the workers that announce themselves; null means none
 */
public record WorkersReport(List<WorkerSummary> workers) {
    /** Copies the list. */
    public WorkersReport {
        workers = workers == null ? List.of() : List.copyOf(workers);
    }
}
