package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;

/**
 * Describes where one task runs.
 *
 * @param task the number of the task within its job, from 0
 * @param worker the worker, not null
 * @param accelerators the indexes of the task's accelerators on the worker; null means none
 */
public record TaskPlacement(int task, String worker, List<Integer> accelerators) {
    /** Checks that the worker is not null and copies the accelerators. */
    public TaskPlacement {
        Objects.requireNonNull(worker, "worker");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
