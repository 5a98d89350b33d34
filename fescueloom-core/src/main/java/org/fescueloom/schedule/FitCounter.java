package org.fescueloom.schedule;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;

/**
 * Counts how many tasks of a waiting unit fit, while the capacity of some upstreams changes.
 *
 * <p>The tasks of a unit need equal resources, so whether the unit can be placed depends only on
 * these counts. A change costs time for the upstreams that it concerns, not for the whole fleet.
 */
final class FitCounter {
    private final WaitingUnit unit;
    private final Resources need;
    private final boolean waitsForRack;
    private final Map<String, Upstream> upstreamsByAgent = new HashMap<>();
    private final Map<String, Integer> fitsByRack = new HashMap<>();
    private int totalFits;

    /** Holds the available capacity of one upstream, and the number of tasks that fit into it. */
    private static final class Upstream {
        private final String rack;
        private final int taskLimit;
        private Resources available;
        private int fits;

        Upstream(String rack, int taskLimit, Resources available) {
            this.rack = rack;
            this.taskLimit = taskLimit;
            this.available = available;
        }
    }

    /**
     * Creates a counter.
     *
     * @param unit the unit to place, not null
     * @param waitsForRack whether the unit may not be placed outside its preferred rack yet
     * @param usable the upstreams that may take tasks of the unit, not null
     * @param capacity returns the available capacity of the upstream of an agent, not null
     */
    FitCounter(
            WaitingUnit unit,
            boolean waitsForRack,
            Collection<UpstreamCapacity> usable,
            Function<String, Resources> capacity) {
        this.unit = unit;
        this.waitsForRack = waitsForRack;
        need = unit.spec().reservedResources();
        int maxPerUpstream = unit.spec().maxPerUpstream();
        for (UpstreamCapacity capacityOfUpstream : usable) {
            String agent = capacityOfUpstream.agent();
            int taskLimit =
                    maxPerUpstream == 0
                            ? Integer.MAX_VALUE
                            : maxPerUpstream - unit.runningPerAgent().getOrDefault(agent, 0);
            Upstream upstream =
                    new Upstream(capacityOfUpstream.rack(), taskLimit, capacity.apply(agent));
            upstreamsByAgent.put(agent, upstream);
            update(upstream);
        }
    }

    /** Adds resources to the capacity of upstreams, by agent; other upstreams are ignored. */
    void add(Map<String, Resources> resourcesByAgent) {
        change(resourcesByAgent, Resources::plus);
    }

    /** Subtracts resources from the capacity of upstreams, by agent; others are ignored. */
    void subtract(Map<String, Resources> resourcesByAgent) {
        change(resourcesByAgent, Resources::minus);
    }

    private interface Change {
        Resources apply(Resources available, Resources change);
    }

    private void change(Map<String, Resources> resourcesByAgent, Change change) {
        for (Map.Entry<String, Resources> entry : resourcesByAgent.entrySet()) {
            Upstream upstream = upstreamsByAgent.get(entry.getKey());
            if (upstream != null) {
                upstream.available = change.apply(upstream.available, entry.getValue());
                update(upstream);
            }
        }
    }

    private void update(Upstream upstream) {
        long fits = Math.min(upstream.taskLimit, upstream.available.quotient(need));
        // More than the tasks of the unit are not needed; this keeps the sums from overflowing.
        int counted = (int) Math.max(0, Math.min(unit.taskIndexes().size(), fits));
        int difference = counted - upstream.fits;
        upstream.fits = counted;
        totalFits += difference;
        fitsByRack.merge(upstream.rack, difference, Integer::sum);
    }

    /** Tells whether all tasks of the unit fit, by the rules of {@link UnitPlacer}. */
    boolean allFit(Collection<String> racks) {
        StepSpec spec = unit.spec();
        int tasks = unit.taskIndexes().size();
        if (!spec.dataRack().isEmpty() && racks.contains(spec.dataRack())) {
            int fits = fitsByRack.getOrDefault(spec.dataRack(), 0);
            boolean placedInPart = !spec.gang() && fits > 0;
            if (fits >= tasks || placedInPart || waitsForRack) {
                return fits >= tasks;
            }
        }
        if (spec.gang() && spec.oneRack()) {
            boolean fitsOneRack = fitsOneRack(tasks);
            if (fitsOneRack || waitsForRack) {
                return fitsOneRack;
            }
        }
        return totalFits >= tasks;
    }

    private boolean fitsOneRack(int tasks) {
        for (int fits : fitsByRack.values()) {
            if (fits >= tasks) {
                return true;
            }
        }
        return false;
    }
}
