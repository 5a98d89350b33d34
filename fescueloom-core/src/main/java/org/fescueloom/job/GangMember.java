package org.fescueloom.job;

import java.util.List;
import java.util.Objects;

/**
 * Describes the worker and the lease of one task of a gang.
 *
 * @param task the identifier of the task within its job, not null
 * @param worker the worker, not null
 * @param address the address of the worker, an IP address with a port, not null
 * @param lease the identifier of the lease on the worker, not null
 * @param accelerators the indexes of the task's accelerators on the worker; null counts as none
 */
public record GangMember(
        String task, String worker, String address, String lease, List<Integer> accelerators) {
    /** Checks the names and copies the accelerators. */
    public GangMember {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(worker, "worker");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(lease, "lease");
        accelerators = accelerators == null ? List.of() : List.copyOf(accelerators);
    }
}
