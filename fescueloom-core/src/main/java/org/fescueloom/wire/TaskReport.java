package org.fescueloom.wire;

import java.util.Objects;

/**
 * Reports one task of a worker.
 *
 * @param task the identifier of the task, not null
 * @param state the state, not null
 * @param progressMillis how much of its run the task has done, in milliseconds
 * @param checkpointMillis how much of its run the last checkpoint holds, in milliseconds
 */
public record TaskReport(String task, TaskState state, long progressMillis, long checkpointMillis) {
    /** Checks that identifier and state are given. */
    public TaskReport {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(state, "state");
    }
}
