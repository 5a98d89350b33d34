package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.config.Adjacency;

/**
 * Looks for a layout of guaranteed blocks on accelerators that are free or borrowed.
 *
 * <p>Tightest and largest blocks go first, each into the fullest domain that holds it. For sizes
 * that divide each other this finds a layout of worker blocks whenever there is one, as in a buddy
 * system. Where it fails, a search over all choices follows, bounded by {@link #MAX_TRIES}.
 */
final class LayoutSearch {
    private static final int MAX_TRIES = 20_000;

    private static final Adjacency[] ADJACENCIES = Adjacency.values();

    private static final Comparator<LayoutItem> TIGHTEST_THEN_LARGEST =
            Comparator.comparing(LayoutItem::adjacency)
                    .thenComparing(item -> item.domain() == LayoutItem.ANY_DOMAIN)
                    .thenComparing(Comparator.comparingInt(LayoutItem::accelerators).reversed());

    private final Topology topology;
    private final int[] freeByWorker;
    private final int[][] freeByDomain = new int[ADJACENCIES.length][];
    private final Map<GuaranteedBlock, Map<Integer, Integer>> placements = new HashMap<>();
    private final List<LayoutItem> unplaced = new ArrayList<>();
    private int tries;

    private LayoutSearch(Topology topology, int[] capacity) {
        this.topology = topology;
        this.freeByWorker = capacity.clone();
        for (Adjacency adjacency : ADJACENCIES) {
            int[] sums = new int[topology.domains(adjacency).size()];
            for (int worker = 0; worker < freeByWorker.length; worker++) {
                sums[topology.domainIndexOf(adjacency, worker)] += freeByWorker[worker];
            }
            freeByDomain[adjacency.ordinal()] = sums;
        }
    }

    /**
     * Looks for a layout.
     *
     * @param topology the workers, not null
     * @param capacity how many accelerators of each worker may be used, not null
     * @param items what to lay out, not null
     * @return a layout, complete if one was found, never null
     */
    static Layout find(Topology topology, int[] capacity, List<LayoutItem> items) {
        List<LayoutItem> sorted = new ArrayList<>(items);
        sorted.sort(TIGHTEST_THEN_LARGEST);
        LayoutSearch greedy = new LayoutSearch(topology, capacity);
        sorted.forEach(greedy::placeInFullest);
        if (greedy.unplaced.isEmpty() || exceedsCapacity(capacity, items)) {
            return greedy.layout();
        }
        LayoutSearch full = new LayoutSearch(topology, capacity);
        return full.placeAll(sorted, 0) ? full.layout() : greedy.layout();
    }

    private static boolean exceedsCapacity(int[] capacity, List<LayoutItem> items) {
        int room = 0;
        for (int accelerators : capacity) {
            room += accelerators;
        }
        return items.stream().mapToInt(LayoutItem::accelerators).sum() > room;
    }

    private Layout layout() {
        return new Layout(placements, List.copyOf(unplaced));
    }

    private void placeInFullest(LayoutItem item) {
        int best = fullestDomain(item);
        if (best < 0) {
            unplaced.add(item);
        } else {
            place(item, best);
        }
    }

    private int fullestDomain(LayoutItem item) {
        int[] sums = freeByDomain[item.adjacency().ordinal()];
        if (item.domain() != LayoutItem.ANY_DOMAIN) {
            return sums[item.domain()] >= item.accelerators() ? item.domain() : -1;
        }
        int best = -1;
        int bestLeft = Integer.MAX_VALUE;
        for (int domain = 0; domain < sums.length; domain++) {
            if (sums[domain] >= item.accelerators() && sums[domain] < bestLeft) {
                bestLeft = sums[domain];
                best = domain;
            }
        }
        return best;
    }

    private boolean placeAll(List<LayoutItem> items, int next) {
        if (next == items.size()) {
            return true;
        }
        LayoutItem item = items.get(next);
        int[] sums = freeByDomain[item.adjacency().ordinal()];
        Set<List<Integer>> failed = new HashSet<>();
        for (int domain = 0; domain < sums.length; domain++) {
            boolean fits = sums[domain] >= item.accelerators() && item.allowsDomain(domain);
            if (!fits || !failed.add(searchState(item, domain))) {
                continue;
            }
            if (++tries > MAX_TRIES) {
                return false;
            }
            place(item, domain);
            if (placeAll(items, next + 1)) {
                return true;
            }
            remove(item);
        }
        return false;
    }

    /** Returns what a later search can see of a choice; equal outlooks fail alike. */
    private List<Integer> searchState(LayoutItem item, int domain) {
        int worker = topology.domains(item.adjacency()).get(domain).workers()[0];
        List<Integer> outlook = new ArrayList<>();
        for (Adjacency wider : ADJACENCIES) {
            if (wider.compareTo(item.adjacency()) >= 0) {
                outlook.add(freeByDomain[wider.ordinal()][topology.domainIndexOf(wider, worker)]);
                boolean last = wider == item.adjacency();
                outlook.add(last ? 0 : topology.domainIndexOf(wider, worker));
            }
        }
        return outlook;
    }

    private void place(LayoutItem item, int domain) {
        Map<Integer, Integer> taken = new HashMap<>();
        int open = item.accelerators();
        for (int worker : topology.domains(item.adjacency()).get(domain).workers()) {
            int count = Math.min(open, freeByWorker[worker]);
            if (count > 0) {
                taken.put(worker, count);
                adjustFree(worker, -count);
                open -= count;
            }
        }
        placements.put(item.block(), taken);
    }

    private void remove(LayoutItem item) {
        placements.remove(item.block()).forEach(this::adjustFree);
    }

    private void adjustFree(int worker, int count) {
        freeByWorker[worker] += count;
        for (Adjacency adjacency : ADJACENCIES) {
            freeByDomain[adjacency.ordinal()][topology.domainIndexOf(adjacency, worker)] += count;
        }
    }
}
