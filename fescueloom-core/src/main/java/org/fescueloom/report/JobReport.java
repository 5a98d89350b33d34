package org.fescueloom.report;

import java.util.List;
import java.util.Objects;
import org.fescueloom.job.JobSpec;

/**
 * Answers {@code GET /v1/jobs/{job}}.
 *
 * @param job the identifier, not null
 * @param state the text of the state, such as "waiting", not null
 * @param reason why it is in this state, as a type such as "fragmented"; null if there is nothing
 *     to say
 * @param detail the same in words; null if there is nothing to say
 * @param attempts how many gang attempts were made
 * @param placement where its tasks run; null counts as none
 * @param spec what its caller submitted, not null
 */
public record JobReport(
        String job,
        String state,
        String reason,
        String detail,
        int attempts,
        List<PlacementReport> placement,
        JobSpec spec) {
    /** Checks what is required and copies the collections. */
    public JobReport {
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(job, "job");
        placement = placement == null ? List.of() : List.copyOf(placement);
    }
}
