package org.fescueloom.work;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Holds what has become of a job, in the form in which it is kept.
 *
 * @param phase where the job stands, not null
 * @param begun whether a task has ever been started
 * @param endedAtMillis when it ended, in milliseconds since 1970; 0 while it is active
 * @param tasks the tasks by occurrence and step; occurrences that are missing are untouched
 * @param finished the occurrences below this number are done
 */
public record JobProgress(
        JobPhase phase,
        boolean begun,
        long endedAtMillis,
        Map<Integer, List<List<TaskRecord>>> tasks,
        int finished) {
    /** Checks the values. */
    public JobProgress {
        Objects.requireNonNull(phase, "phase");
        tasks = tasks == null ? Map.of() : tasks;
    }
}
