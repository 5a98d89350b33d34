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

    private static final Comparator<LayoutItem> TIGHTEST_AND_LARGEST =
            Comparator.comparing(LayoutItem::adjacency)
                    .thenComparing(item -> item.domain() == LayoutItem.ANYWHERE)
                    .thenComparing(Comparator.comparingInt(LayoutItem::accelerators).reversed());

    private final Topology topology;
    private final int[] left;
    private final int[][] leftInDomain = new int[ADJACENCIES.length][];
    private final Map<GuaranteedBlock, Map<Integer, Integer>> places = new HashMap<>();
    private final List<LayoutItem> missing = new ArrayList<>();
    private int tries;

    private LayoutSearch(Topology topology, int[] capacity) {
        this.topology = topology;
        this.left = capacity.clone();
        for (Adjacency adjacency : ADJACENCIES) {
            int[] sums = new int[topology.domains(adjacency).size()];
            for (int worker = 0; worker < left.length; worker++) {
                sums[topology.domainOf(adjacency, worker)] += left[worker];
            }
            leftInDomain[adjacency.ordinal()] = sums;
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
        sorted.sort(TIGHTEST_AND_LARGEST);
        LayoutSearch greedy = new LayoutSearch(topology, capacity);
        sorted.forEach(greedy::placeInFullest);
        if (greedy.missing.isEmpty() || cannotFit(capacity, items)) {
            return greedy.layout();
        }
        LayoutSearch full = new LayoutSearch(topology, capacity);
        return full.placeAll(sorted, 0) ? full.layout() : greedy.layout();
    }

    private static boolean cannotFit(int[] capacity, List<LayoutItem> items) {
        int room = 0;
        for (int accelerators : capacity) {
            room += accelerators;
        }
        return items.stream().mapToInt(LayoutItem::accelerators).sum() > room;
    }

    private Layout layout() {
        return new Layout(places, List.copyOf(missing));
    }

    private void placeInFullest(LayoutItem item) {
        int best = fullestDomain(item);
        if (best < 0) {
            missing.add(item);
        } else {
            place(item, best);
        }
    }

    private int fullestDomain(LayoutItem item) {
        int[] sums = leftInDomain[item.adjacency().ordinal()];
        if (item.domain() != LayoutItem.ANYWHERE) {
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
        int[] sums = leftInDomain[item.adjacency().ordinal()];
        Set<List<Integer>> failed = new HashSet<>();
        for (int domain = 0; domain < sums.length; domain++) {
            boolean fits = sums[domain] >= item.accelerators() && item.mayLieIn(domain);
            if (!fits || !failed.add(outlook(item, domain))) {
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
    private List<Integer> outlook(LayoutItem item, int domain) {
        int worker = topology.domains(item.adjacency()).get(domain).workers()[0];
        List<Integer> outlook = new ArrayList<>();
        for (Adjacency wider : ADJACENCIES) {
            if (wider.compareTo(item.adjacency()) >= 0) {
                outlook.add(leftInDomain[wider.ordinal()][topology.domainOf(wider, worker)]);
                boolean last = wider == item.adjacency();
                outlook.add(last ? 0 : topology.domainOf(wider, worker));
            }
        }
        return outlook;
    }

    private void place(LayoutItem item, int domain) {
        Map<Integer, Integer> taken = new HashMap<>();
        int open = item.accelerators();
        for (int worker : topology.domains(item.adjacency()).get(domain).workers()) {
            int count = Math.min(open, left[worker]);
            if (count > 0) {
                taken.put(worker, count);
                change(worker, -count);
                open -= count;
            }
        }
        places.put(item.block(), taken);
    }

    private void remove(LayoutItem item) {
        places.remove(item.block()).forEach(this::change);
    }

    private void change(int worker, int count) {
        left[worker] += count;
        for (Adjacency adjacency : ADJACENCIES) {
            leftInDomain[adjacency.ordinal()][topology.domainOf(adjacency, worker)] += count;
        }
    }
}
