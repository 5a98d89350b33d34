package org.fescueloom.standins.worker;

import java.util.Objects;
import org.fescueloom.wire.WorkerCapacity;

/**
 * Names a worker and what it has.
 *
 * @param id the identifier, not null
 * @param zone the availability zone, not null
 * @param capacity what it has, not null
 */
public record WorkerIdentity(String id, String zone, WorkerCapacity capacity) {
    /** Checks that no component is null. */
    public WorkerIdentity {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(capacity, "capacity");
    }
}
