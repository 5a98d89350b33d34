package org.fescueloom.report;

import java.util.Objects;
import org.fescueloom.config.ZoneState;

/**
 * Reports one availability zone.
 *
 * @param zone the name of the zone, not null
 * @param region the region, not null
 * @param state the state, which operators set: in or out of service, not null
 * @param upstreams the number of upstreams that announce themselves in the zone
 * @param workers the number of workers that announce themselves in the zone
 * @param accelerators the number of accelerators of these workers
 * @param busyAccelerators the number of these accelerators that are in use
 */
public record ZoneReport(
        String zone,
        String region,
        ZoneState state,
        int upstreams,
        int workers,
        int accelerators,
        int busyAccelerators) {
    /** Checks that the required values are not null. */
    public ZoneReport {
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(zone, "zone");
    }
}
