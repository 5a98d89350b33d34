package org.fescueloom.work;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Holds the progress of a job in the form in which the job log stores it.
 *
 * @param phase the phase of the job, not null
 * @param begun whether any task was ever assigned to an upstream
 * @param endedAtMillis the time at which the job ended, in milliseconds since 1970; 0 while it is
 *     active
 * @param tasks the records of the tasks by occurrence, step and task index; null counts as none;
 *     empty once the job has ended and no task is assigned; if a task of an occurrence from {@code
 *     finished} on is missing here, it was never assigned
 * @param finished the first occurrence whose records are kept; all earlier occurrences are done
 */
public record JobProgress(
        JobPhase phase,
        boolean begun,
        long endedAtMillis,
        Map<Integer, List<List<TaskRecord>>> tasks,
        int finished) {
    /** Checks the phase and replaces a missing map of tasks by an empty one. */
    public JobProgress {
        Objects.requireNonNull(phase, "phase");
        tasks = tasks == null ? Map.of() : tasks;
    }
}
