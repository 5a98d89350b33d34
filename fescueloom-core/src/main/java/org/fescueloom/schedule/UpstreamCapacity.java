package org.fescueloom.schedule;

import java.util.Objects;
import java.util.Set;
import org.fescueloom.work.Resources;

/**
 * Describes what an upstream that may take tasks has left.
 *
 * @param agent the agent that guards the upstream, not null
 * @param service the service that it runs, not null
 * @param rack the rack it stands in; empty if unknown
 * @param labels what it is labelled with, not null
 * @param free what no run takes, not null
 * @param promised what will be free once the runs that are being stopped have ended, not null
 * @param slowness its run times over those of a usual upstream; 1 where nothing is known
 * @param slownessUpperBound a slowness that it likely does not exceed
 * @param needsSpeedSample whether nothing is known of its speed and no run is under way that will
 *     show it
 * @param suspect whether tasks should go elsewhere if they can
 */
public record UpstreamCapacity(
        String agent,
        String service,
        String rack,
        Set<String> labels,
        Resources free,
        Resources promised,
        double slowness,
        double slownessUpperBound,
        boolean needsSpeedSample,
        boolean suspect) {
    /** Checks the values. */
    public UpstreamCapacity {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(free, "free");
        Objects.requireNonNull(promised, "promised");
        labels = Set.copyOf(labels);
    }
}
