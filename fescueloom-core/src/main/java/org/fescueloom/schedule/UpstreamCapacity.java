package org.fescueloom.schedule;

import java.util.Objects;
import java.util.Set;
import org.fescueloom.work.Resources;

/**
 * Describes the capacity and the condition of an upstream that may take tasks.
 *
 * @param agent the agent of the upstream, not null
 * @param service the service that the upstream runs, not null
 * @param rack the rack of the upstream, not null; empty if unknown
 * @param labels the labels of the upstream, not null
 * @param free the free capacity, which no run holds, not null
 * @param promised the promised capacity: the free capacity plus the resources that stopping runs
 *     will release, not null
 * @param attainable the capacity that is free once all runs have ended except those of endless
 *     tasks, not null
 * @param slowness the run times on this upstream divided by those on an average upstream; 1 if
 *     unknown
 * @param slownessUpperBound a bound that the slowness probably does not exceed
 * @param needsSpeedSample whether the speed is unknown and no run is in progress that will show the
 *     speed
 * @param suspect whether tasks should be placed on other upstreams if possible
 */
public record UpstreamCapacity(
        String agent,
        String service,
        String rack,
        Set<String> labels,
        Resources free,
        Resources promised,
        Resources attainable,
        double slowness,
        double slownessUpperBound,
        boolean needsSpeedSample,
        boolean suspect) {
    /** Checks that no component is null and copies the labels. */
    public UpstreamCapacity {
        Objects.requireNonNull(agent, "agent");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(rack, "rack");
        Objects.requireNonNull(free, "free");
        Objects.requireNonNull(promised, "promised");
        Objects.requireNonNull(attainable, "attainable");
        labels = Set.copyOf(labels);
    }
}
