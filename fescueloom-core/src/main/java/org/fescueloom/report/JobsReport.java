package org.fescueloom.report;

import java.util.List;

/**
 * Holds the response to {@code GET /v1/jobs}.
 *
 * @param jobs the jobs that match the request; null means none
 */
public record JobsReport(List<JobReport> jobs) {
    /** Copies the list. */
    public JobsReport {
        jobs = jobs == null ? List.of() : List.copyOf(jobs);
    }
}
