package org.fescueloom.placement;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Determines whether parts of guaranteed blocks can be laid out, by trying every assignment.
 * Suitable only for few workers.
 */
final class ExhaustiveLayoutSearch {
    private final Topology topology;
    private final List<LayoutItem> items;

    /** The searches that failed: the next item and the free accelerators of each worker. */
    private final Set<String> failed = new HashSet<>();

    private ExhaustiveLayoutSearch(Topology topology, List<LayoutItem> items) {
        this.topology = topology;
        this.items = items;
    }

    static boolean exists(Topology topology, int[] capacity, List<LayoutItem> items) {
        return new ExhaustiveLayoutSearch(topology, items).placeAllFrom(0, capacity.clone());
    }

    private boolean placeAllFrom(int next, int[] freeByWorker) {
        if (next == items.size()) {
            return true;
        }
        if (failed.contains(next + Arrays.toString(freeByWorker))) {
            return false;
        }
        LayoutItem item = items.get(next);
        List<TopologyDomain> domains = topology.domains(item.adjacency());
        for (int domain = 0; domain < domains.size(); domain++) {
            int[] workers = domains.get(domain).workers();
            if (item.allowsDomain(domain)
                    && placeItem(next, freeByWorker, workers, 0, item.accelerators())) {
                return true;
            }
        }
        failed.add(next + Arrays.toString(freeByWorker));
        return false;
    }

    private boolean placeItem(
            int next, int[] freeByWorker, int[] workers, int position, int remaining) {
        if (remaining == 0) {
            return placeAllFrom(next + 1, freeByWorker);
        }
        if (position == workers.length) {
            return false;
        }
        int workerIndex = workers[position];
        for (int count = Math.min(remaining, freeByWorker[workerIndex]); count >= 0; count--) {
            freeByWorker[workerIndex] -= count;
            boolean found = placeItem(next, freeByWorker, workers, position + 1, remaining - count);
            freeByWorker[workerIndex] += count;
            if (found) {
                return true;
            }
        }
        return false;
    }
}
