package org.fescueloom.wire;

import java.util.Objects;

/**
 * Reports the state of one task on a worker.
 *
 * @param task the identifier of the task, not null
 * @param state the state, not null
 * @param progressMillis the part of its run time that the task has completed, in milliseconds
 * @param checkpointMillis the part of its run time that the last checkpoint covers, in milliseconds
 */
public record TaskReport(String task, TaskState state, long progressMillis, long checkpointMillis) {
    /** Checks that the identifier and the state are not null. */
    public TaskReport {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(state, "state");
    }
}
