package org.fescueloom.daemon.dispatch;

import java.util.Objects;
import java.util.Set;
import org.fescueloom.fleet.FleetConfiguration;

/**
 * Holds what operators have set, as far as this process has read it.
 *
 * @param configuration the newest configuration; null before the first was read
 * @param zonesOut the availability zones that are out of service, not null
 * @param offset where reading goes on in the log of the operators; its age tells the newer view
 */
public record FleetView(FleetConfiguration configuration, Set<String> zonesOut, long offset) {
    /** What is known before anything was read. */
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
