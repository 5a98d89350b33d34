package org.fescueloom.report;

import java.util.List;
import java.util.Objects;

/**
 * Reports where one task runs.
 *
 * @param task the identifier of the task, not null
 * @param worker the worker, not null
 * @param accelerators the places of the accelerators on the worker; null counts as none
 */
public record PlacementReport(String task, String worker, List<Integer> accelerators) {
    /** Checks what is required and copies the collections. */
    public PlacementReport {
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(task, "task");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
