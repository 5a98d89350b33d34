package org.fescueloom.job;

import java.util.List;
import java.util.Objects;

/**
 * Records that a gang attempt has ended. The record is written only after every lease of the
 * attempt is released or has lapsed, because the job may be placed again directly afterwards.
 *
 * @param job the job, not null
 * @param attempt the identifier of the gang attempt, not null
 * @param epoch the epoch of the planner that placed the attempt
 * @param result how the attempt ended, not null
 * @param reason the reason of the end, for people; null counts as empty
 * @param workersAtFault the workers on which tasks failed; null counts as none
 * @param checkpointMillis the run time that the checkpoints of all members cover, in milliseconds
 * @param endedAtMillis the time of the end, in milliseconds since the epoch
 */
public record GangEnded(
        String job,
        String attempt,
        long epoch,
        GangResult result,
        String reason,
        List<String> workersAtFault,
        long checkpointMillis,
        long endedAtMillis)
        implements JobRecord {
    /** Checks the names and the result, and copies the workers. */
    public GangEnded {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(attempt, "attempt");
        Objects.requireNonNull(result, "result");
        reason = reason == null ? "" : reason;
        workersAtFault = workersAtFault == null ? List.of() : List.copyOf(workersAtFault);
    }
}
