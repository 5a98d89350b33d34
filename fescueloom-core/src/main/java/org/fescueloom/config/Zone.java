package org.fescueloom.config;

import java.util.List;
import java.util.Objects;

/**
 * Describes an availability zone.
 *
 * @param name the name, not null
 * @param region the region that the zone belongs to; null is treated as "default"
 * @param state whether the zone is in service; null is treated as {@link ZoneState#IN}
 * @param racks the names of the racks in the zone; null is treated as none
 */
public record Zone(String name, String region, ZoneState state, List<String> racks) {
    /** The region of a zone without a given region. */
    public static final String DEFAULT_REGION = "default";

    /** Checks that the name is not null and replaces other missing components by their defaults. */
    public Zone {
        Objects.requireNonNull(name, "name");
        region = region == null ? DEFAULT_REGION : region;
        state = state == null ? ZoneState.IN : state;
        racks = racks == null ? List.of() : List.copyOf(racks);
    }

    /**
     * Returns a copy of this zone with another state.
     *
     * @param newState the state, not null
     * @return the zone, never null
     */
    public Zone withState(ZoneState newState) {
        return new Zone(name, region, newState, racks);
    }
}
