package org.fescueloom.report;

import java.util.List;
import java.util.Objects;

/**
 * Reports one worker and the use of its accelerators.
 *
 * @param worker the identifier of the worker, not null
 * @param zone the availability zone, not null
 * @param rack the rack, not null
 * @param position the position in the rack, from 0
 * @param state the text of the worker's state, such as "ready" or "set-aside", not null
 * @param cpus the number of processor cores
 * @param memoryMb the memory, in mebibytes
 * @param accelerators the accelerators in order of their indexes; null means none
 * @param ageMillis the age of these figures, in milliseconds
 */
public record WorkerSummary(
        String worker,
        String zone,
        String rack,
        int position,
        String state,
        int cpus,
        long memoryMb,
        List<AcceleratorReport> accelerators,
        long ageMillis) {
    /** Checks that the required values are not null and copies the list. */
    public WorkerSummary {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(worker, "worker");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
