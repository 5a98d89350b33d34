package org.fescueloom.report;

import java.util.List;
import java.util.Objects;
import org.fescueloom.job.JobSpec;

/**
 * Holds the response to {@code GET /v1/jobs/{job}}.
 *
 * @param job the identifier of the job, not null
 * @param state the text of the state, such as "waiting", not null
 * @param reason the type of the reason for this state, such as "fragmented"; null if there is none
 * @param detail a description of the reason; null if there is none
 * @param attempts the number of gang attempts so far
 * @param placement the placements of the tasks; null means none
 * @param spec the specification that the caller submitted, not null
 */
public record JobReport(
        String job,
        String state,
        String reason,
        String detail,
        int attempts,
        List<PlacementReport> placement,
        JobSpec spec) {
    /** Checks that the required values are not null and copies the list. */
    public JobReport {
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(job, "job");
        placement = placement == null ? List.of() : List.copyOf(placement);
    }
}
