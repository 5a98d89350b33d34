package org.fescueloom.report;

import java.util.List;
import java.util.Objects;

/**
 * Reports where one task runs.
 *
 * @param task the identifier of the task, not null
 * @param worker the worker, not null
 * @param accelerators the indexes of the task's accelerators on the worker; null means none
 */
public record PlacementReport(String task, String worker, List<Integer> accelerators) {
    /** Checks that task and worker are not null and copies the list. */
    public PlacementReport {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(task, "task");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
