package org.fescueloom.placement;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Tells by trying everything whether blocks can be laid out; for a few workers only. */
final class ExhaustiveLayoutSearch {
    private final Topology topology;
    private final List<LayoutItem> items;
    private final Set<String> failed = new HashSet<>();

    private ExhaustiveLayoutSearch(Topology topology, List<LayoutItem> items) {
        this.topology = topology;
        this.items = items;
    }

    static boolean exists(Topology topology, int[] capacity, List<LayoutItem> items) {
        return new ExhaustiveLayoutSearch(topology, items).place(0, capacity.clone());
    }

    private boolean place(int next, int[] left) {
        if (next == items.size()) {
            return true;
        }
        if (failed.contains(next + Arrays.toString(left))) {
            return false;
        }
        LayoutItem item = items.get(next);
        List<TopologyDomain> domains = topology.domains(item.adjacency());
        for (int domain = 0; domain < domains.size(); domain++) {
            int[] workers = domains.get(domain).workers();
            if (item.allowsDomain(domain) && spread(next, left, workers, 0, item.accelerators())) {
                return true;
            }
        }
        failed.add(next + Arrays.toString(left));
        return false;
    }

    private boolean spread(int next, int[] left, int[] workers, int at, int open) {
        if (open == 0) {
            return place(next + 1, left);
        }
        if (at == workers.length) {
            return false;
        }
        int worker = workers[at];
        for (int count = Math.min(open, left[worker]); count >= 0; count--) {
            left[worker] -= count;
            boolean found = spread(next, left, workers, at + 1, open - count);
            left[worker] += count;
            if (found) {
                return true;
            }
        }
        return false;
    }
}
