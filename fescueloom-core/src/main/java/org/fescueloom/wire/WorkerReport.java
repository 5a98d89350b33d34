package org.fescueloom.wire;

import java.util.List;
import java.util.Objects;

/**
 * Reports the current leases of a worker.
 *
 * @param worker the identifier of the worker, not null
 * @param incarnation a number that grows with each start of the worker
 * @param highestToken the highest planner epoch that the worker has seen; -1 for none
 * @param leases the leases that the worker has granted; null is treated as none
 */
public record WorkerReport(
        String worker, long incarnation, long highestToken, List<LeaseReport> leases) {
    /** Checks that the identifier is not null and copies the leases. */
    public WorkerReport {
        Objects.requireNonNull(worker, "worker");
        leases = leases == null ? List.of() : List.copyOf(leases);
    }
}
