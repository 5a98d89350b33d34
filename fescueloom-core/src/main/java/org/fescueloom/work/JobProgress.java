package org.fescueloom.work;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Holds the progress of a job in the form in which the job log stores it.
 *
 * @param phase the phase of the job, not null
 * @param begun whether a task has ever been started
 * @param endedAtMillis the time at which the job ended, in milliseconds since 1970; 0 while it is
 *     active
 * @param tasks the tasks by occurrence and step; null counts as none; in a missing occurrence that
 *     is not finished, no task was ever started
 * @param finished the number of the first occurrence that may not be done; all below it are done
 */
public record JobProgress(
        JobPhase phase,
        boolean begun,
        long endedAtMillis,
        Map<Integer, List<List<TaskRecord>>> tasks,
        int finished) {
    /** Checks the phase and fills in missing tasks. */
    public JobProgress {
        Objects.requireNonNull(phase, "phase");
        tasks = tasks == null ? Map.of() : tasks;
    }
}
