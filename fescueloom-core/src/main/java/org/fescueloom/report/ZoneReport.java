package org.fescueloom.report;

import java.util.Objects;
import org.fescueloom.config.ZoneState;

/**
 * Reports one availability zone.
 *
 * @param zone the name, not null
 * @param region the region, not null
 * @param state whether operators have the zone in service, not null
 * @param upstreams how many upstreams announce themselves there
 * @param workers how many workers announce themselves there
 * @param accelerators how many accelerators these workers have
 * @param busyAccelerators how many of them work
 */
public record ZoneReport(
        String zone,
        String region,
        ZoneState state,
        int upstreams,
        int workers,
        int accelerators,
        int busyAccelerators) {
    /** Checks what is required and copies the collections. */
    public ZoneReport {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(zone, "zone");
    }
}
