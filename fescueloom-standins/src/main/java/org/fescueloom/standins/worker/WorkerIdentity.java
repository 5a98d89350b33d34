package org.fescueloom.standins.worker;

import java.util.Objects;
import org.fescueloom.wire.WorkerCapacity;

/**
 * Holds the identifier, the availability zone and the capacity of a worker.
 *
 * @param id the identifier of the worker, not null
 * @param zone the availability zone, not null
 * @param capacity the rack, position and resources of the worker, not null
 */
public record WorkerIdentity(String id, String zone, WorkerCapacity capacity) {
    /** Checks that no component is null. */
    public WorkerIdentity {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(capacity, "capacity");
    }
}
