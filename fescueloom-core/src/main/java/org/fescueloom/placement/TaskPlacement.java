package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;

/**
 * Says where one task runs.
 *
 * @param task the number of the task within its job, from 0
 * @param worker the worker, not null
 * @param accelerators the places of the accelerators on the worker; null counts as none
 */
public record TaskPlacement(int task, String worker, List<Integer> accelerators) {
    /** Checks the worker and copies the accelerators. */
    public TaskPlacement {
        Objects.requireNonNull(worker, "worker");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
