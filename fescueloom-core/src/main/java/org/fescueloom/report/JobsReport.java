package org.fescueloom.report;

import java.util.List;

/**
 * Answers {@code GET /v1/jobs}.
 *
 * @param jobs the jobs that match; null counts as none
 */
public record JobsReport(List<JobReport> jobs) {
    /** Checks what is required and copies the collections. */
    public JobsReport {
        jobs = jobs == null ? List.of() : List.copyOf(jobs);
    }
}
