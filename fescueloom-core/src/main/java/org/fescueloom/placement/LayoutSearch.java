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
 * Searches for a layout of guaranteed blocks on accelerators that are free or held by borrowers.
 *
 * <p>A greedy search places the blocks with the tightest adjacency first, among these the blocks
 * whose domain is fixed by claims, and then large blocks before small ones. Each block goes to the
 * topology domain with the fewest free accelerators that can hold it. If the block sizes divide
 * each other, the greedy search finds a layout of blocks with adjacency {@code WORKER} whenever one
 * exists, as in a buddy allocator. If the greedy search fails, an exhaustive search over all
 * choices follows, limited by {@link #MAX_TRIES}.
 */
final class LayoutSearch {
    /** The maximum number of placements that the exhaustive search tries. */
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
            for (int workerIndex = 0; workerIndex < freeByWorker.length; workerIndex++) {
                sums[topology.domainIndexOf(adjacency, workerIndex)] += freeByWorker[workerIndex];
            }
            freeByDomain[adjacency.ordinal()] = sums;
        }
    }

    /**
     * Searches for a layout.
     *
     * @param topology the topology of the workers, not null
     * @param capacity the number of accelerators that may be used on each worker, not null
     * @param items the unclaimed parts of blocks to place, not null
     * @return a layout, complete if the search succeeded, never null
     */
    static Layout find(Topology topology, int[] capacity, List<LayoutItem> items) {
        List<LayoutItem> sortedItems = new ArrayList<>(items);
        sortedItems.sort(TIGHTEST_THEN_LARGEST);
        LayoutSearch greedy = new LayoutSearch(topology, capacity);
        sortedItems.forEach(greedy::placeInFullest);
        // No search finds a complete layout if the items need more than the whole capacity.
        if (greedy.unplaced.isEmpty() || exceedsCapacity(capacity, items)) {
            return greedy.layout();
        }
        LayoutSearch exhaustive = new LayoutSearch(topology, capacity);
        return exhaustive.placeAll(sortedItems, 0) ? exhaustive.layout() : greedy.layout();
    }

    private static boolean exceedsCapacity(int[] capacity, List<LayoutItem> items) {
        int available = 0;
        for (int accelerators : capacity) {
            available += accelerators;
        }
        return items.stream().mapToInt(LayoutItem::accelerators).sum() > available;
    }

    private Layout layout() {
        return new Layout(placements, List.copyOf(unplaced));
    }

    private void placeInFullest(LayoutItem item) {
        int bestDomain = fullestDomain(item);
        if (bestDomain < 0) {
            unplaced.add(item);
        } else {
            place(item, bestDomain);
        }
    }

    /**
     * Returns the index of the topology domain with the fewest free accelerators that can hold an
     * item; -1 if there is none.
     */
    private int fullestDomain(LayoutItem item) {
        int[] sums = freeByDomain[item.adjacency().ordinal()];
        if (item.domain() != LayoutItem.ANY_DOMAIN) {
            return sums[item.domain()] >= item.accelerators() ? item.domain() : -1;
        }
        int bestDomain = -1;
        int leastFree = Integer.MAX_VALUE;
        for (int domain = 0; domain < sums.length; domain++) {
            if (sums[domain] >= item.accelerators() && sums[domain] < leastFree) {
                leastFree = sums[domain];
                bestDomain = domain;
            }
        }
        return bestDomain;
    }

    /**
     * Tries to place the items from the index {@code next} on. Returns false, and places none of
     * them, if every choice has failed or {@link #MAX_TRIES} is exceeded.
     */
    private boolean placeAll(List<LayoutItem> items, int next) {
        if (next == items.size()) {
            return true;
        }
        LayoutItem item = items.get(next);
        int[] sums = freeByDomain[item.adjacency().ordinal()];
        Set<List<Integer>> failedStates = new HashSet<>();
        for (int domain = 0; domain < sums.length; domain++) {
            boolean fits = sums[domain] >= item.accelerators() && item.allowsDomain(domain);
            if (!fits || !failedStates.add(searchState(item, domain))) {
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

    /**
     * Returns the state on which the rest of the search depends if an item is placed in a domain.
     * If the search has failed for one domain, it also fails for the other domains with an equal
     * state, which are therefore not tried.
     *
     * <p>The state consists of the free accelerators and the index of each domain that contains the
     * given domain. For the given domain itself, 0 stands for the index, so that domains with the
     * same enclosing domains can have equal states.
     */
    private List<Integer> searchState(LayoutItem item, int domain) {
        // All workers of the domain are in the same enclosing domains, so any worker serves here.
        int workerIndex = topology.domains(item.adjacency()).get(domain).workers()[0];
        List<Integer> state = new ArrayList<>();
        for (Adjacency enclosing : ADJACENCIES) {
            if (enclosing.compareTo(item.adjacency()) >= 0) {
                state.add(
                        freeByDomain[enclosing.ordinal()][
                                topology.domainIndexOf(enclosing, workerIndex)]);
                boolean ownDomain = enclosing == item.adjacency();
                state.add(ownDomain ? 0 : topology.domainIndexOf(enclosing, workerIndex));
            }
        }
        return state;
    }

    private void place(LayoutItem item, int domain) {
        Map<Integer, Integer> taken = new HashMap<>();
        int remaining = item.accelerators();
        for (int workerIndex : topology.domains(item.adjacency()).get(domain).workers()) {
            int count = Math.min(remaining, freeByWorker[workerIndex]);
            if (count > 0) {
                taken.put(workerIndex, count);
                adjustFree(workerIndex, -count);
                remaining -= count;
            }
        }
        placements.put(item.block(), taken);
    }

    private void remove(LayoutItem item) {
        placements.remove(item.block()).forEach(this::adjustFree);
    }

    private void adjustFree(int workerIndex, int count) {
        freeByWorker[workerIndex] += count;
        for (Adjacency adjacency : ADJACENCIES) {
            freeByDomain[adjacency.ordinal()][topology.domainIndexOf(adjacency, workerIndex)] +=
                    count;
        }
    }
}
