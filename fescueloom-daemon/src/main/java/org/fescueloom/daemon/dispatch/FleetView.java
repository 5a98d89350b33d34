package org.fescueloom.daemon.dispatch;

import java.util.Objects;
import java.util.Set;
import org.fescueloom.fleet.FleetConfiguration;

/**
 * Holds the configuration and the zones out of service, as of an offset of the operator log.
 *
 * @param configuration the newest configuration; null before the first was read
 * @param zonesOut the availability zones that are out of service, not null
 * @param offset the offset at which reading continues in the operator log; a view with a higher
 *     offset is newer
 */
public record FleetView(FleetConfiguration configuration, Set<String> zonesOut, long offset) {
    /** The view of a process that has read nothing. */
    public static final FleetView EMPTY = new FleetView(null, Set.of(), 0);

    /** Copies the set. */
    public FleetView {
        Objects.requireNonNull(zonesOut, "zonesOut");
        zonesOut = Set.copyOf(zonesOut);
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version; 0 if there is none
     */
    public long version() {
        return configuration == null ? 0 : configuration.version();
    }
}
