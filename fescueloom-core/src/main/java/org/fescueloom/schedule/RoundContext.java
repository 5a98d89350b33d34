package org.fescueloom.schedule;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Holds what a scheduling round needs to know besides its units and upstreams.
 *
 * @param coverage how much of the fleet the upstreams of the round are, not null
 * @param reservations the reservations of the round before, as {@link SchedulePlan#reservations}
 *     returns them, not null
 */
public record RoundContext(FleetCoverage coverage, Map<String, List<String>> reservations) {
    /** The context of a round with the whole fleet and without a round before it. */
    public static final RoundContext INITIAL = new RoundContext(FleetCoverage.COMPLETE, Map.of());

    /** Checks that the coverage is not null and copies the map. */
    public RoundContext {
        Objects.requireNonNull(coverage, "coverage");
        reservations = Map.copyOf(reservations);
    }
}
