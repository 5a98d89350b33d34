package org.fescueloom.report;

import java.util.List;
import java.util.Objects;

/**
 * Reports one worker and who uses its accelerators.
 *
 * @param worker the identifier, not null
 * @param zone the availability zone, not null
 * @param rack the rack, not null
 * @param position the place in the rack, from 0
 * @param state the text of its state, such as "ready" or "set-aside", not null
 * @param cpus how many processor cores it has
 * @param memoryMb its memory, in mebibytes
 * @param accelerators its accelerators in order of their places; null counts as none
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
    /** Checks what is required and copies the collections. */
    public WorkerSummary {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(worker, "worker");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
