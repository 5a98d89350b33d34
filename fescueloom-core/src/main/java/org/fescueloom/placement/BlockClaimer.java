package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.fescueloom.config.Adjacency;
import org.fescueloom.job.BlockClaim;
import org.fescueloom.job.JobSpec;

/**
 * Charges gangs to the guaranteed blocks of their customers.
 *
 * <p>A gang that one block covers is charged to one block, the one with the least left over, so
 * that other blocks stay whole for gangs of their shape. A larger gang is charged to several.
 */
final class BlockClaimer {
    private static final int MAX_BLOCKS_TRIED = 4;

    private final Topology topology;
    private final GuaranteeState state;

    BlockClaimer(Topology topology, GuaranteeState state) {
        this.topology = topology;
        this.state = state;
    }

    /**
     * Charges a gang to its customer's blocks if the invariant holds afterwards.
     *
     * @param spec the gang, not null
     * @param members where its tasks go, not null
     * @return the claims, or empty if the customer's blocks do not cover the gang or the rest could
     *     not be laid out; nothing is charged then
     */
    Optional<List<BlockClaim>> claim(JobSpec spec, List<TaskPlacement> members) {
        Map<Integer, Integer> needs = new TreeMap<>();
        members.forEach(m -> needs.merge(topology.indexOf(m.worker()), 1, Integer::sum));
        needs.replaceAll((worker, tasks) -> state.acceleratorEquivalent(spec, worker, tasks));
        List<BlockUsage> covering = findCoveringBlocks(spec);
        if (covering.isEmpty()) {
            return claimFromSeveralBlocks(spec.customer(), needs);
        }
        for (BlockUsage use : covering) {
            if (layoutCovers(use, needs)) {
                return Optional.of(claimFromLayout(use, needs));
            }
        }
        for (BlockUsage use : covering) {
            Optional<List<BlockClaim>> claims = claimFromOneBlock(use, needs);
            if (claims.isPresent()) {
                return claims;
            }
        }
        return Optional.empty();
    }

    /**
     * Returns blocks of a gang's customer that cover the whole gang. If it would use some up, only
     * those are returned, and of these only the ones with the loosest adjacency.
     *
     * @param spec the gang, not null
     * @return some blocks of different kinds, the best first
     */
    List<BlockUsage> findCoveringBlocks(JobSpec spec) {
        int total = spec.tasks() * spec.acceleratorsPerTask();
        List<BlockUsage> found = new ArrayList<>();
        Optional<Adjacency> exact = Optional.empty();
        for (BlockUsage use : state.blocksOf(spec.customer())) {
            if (use.unclaimedAccelerators() >= total) {
                found.add(use);
                boolean looser =
                        exact.isEmpty() || use.block().adjacency().compareTo(exact.get()) > 0;
                if (isExactFit(use, spec, total) && looser) {
                    exact = Optional.of(use.block().adjacency());
                }
            }
        }
        exact.ifPresent(
                loosest ->
                        found.removeIf(
                                use ->
                                        !isExactFit(use, spec, total)
                                                || use.block().adjacency() != loosest));
        found.sort(
                Comparator.comparing(
                                (BlockUsage use) ->
                                        use.block().adjacency().compareTo(spec.adjacency()) > 0)
                        .thenComparing(BlockUsage::isFullyUnclaimed)
                        .thenComparingInt(BlockUsage::unclaimedAccelerators)
                        .thenComparing(
                                Comparator.comparing((BlockUsage u) -> u.block().adjacency())
                                        .reversed()));
        Set<LayoutItem> kinds = new HashSet<>();
        found.removeIf(use -> !kinds.add(use.equivalenceKey()));
        return found.subList(0, Math.min(MAX_BLOCKS_TRIED, found.size()));
    }

    private static boolean isExactFit(BlockUsage use, JobSpec spec, int total) {
        boolean tightEnough = use.block().adjacency().compareTo(spec.adjacency()) <= 0;
        return use.unclaimedAccelerators() == total && tightEnough;
    }

    private boolean layoutCovers(BlockUsage use, Map<Integer, Integer> needs) {
        Map<Integer, Integer> place =
                state.layout().placements().getOrDefault(use.block(), Map.of());
        return needs.entrySet().stream()
                .allMatch(need -> place.getOrDefault(need.getKey(), 0) >= need.getValue());
    }

    /** Claims what the layout keeps on the same workers; what is left of the layout stays valid. */
    private List<BlockClaim> claimFromLayout(BlockUsage use, Map<Integer, Integer> needs) {
        Layout before = state.layout();
        Map<GuaranteedBlock, Map<Integer, Integer>> places = new HashMap<>(before.placements());
        Map<Integer, Integer> rest = new HashMap<>(places.get(use.block()));
        List<BlockClaim> claims = new ArrayList<>();
        needs.forEach(
                (worker, need) -> {
                    rest.merge(worker, -need, Integer::sum);
                    claims.add(state.claim(use, worker, need));
                });
        places.put(use.block(), rest);
        state.setLayout(new Layout(places, before.unplaced()));
        return claims;
    }

    private Optional<List<BlockClaim>> claimFromOneBlock(
            BlockUsage use, Map<Integer, Integer> needs) {
        Layout before = state.layout();
        List<BlockClaim> claims = new ArrayList<>();
        boolean covered = true;
        for (Map.Entry<Integer, Integer> need : needs.entrySet()) {
            covered =
                    covered
                            && use.unclaimedAccelerators() >= need.getValue()
                            && use.canClaimOn(topology, need.getKey());
            if (covered) {
                claims.add(state.claim(use, need.getKey(), need.getValue()));
            }
        }
        return confirmOrRollBack(use.block().customer(), claims, covered, before);
    }

    private Optional<List<BlockClaim>> claimFromSeveralBlocks(
            String customer, Map<Integer, Integer> needs) {
        Layout before = state.layout();
        List<BlockClaim> claims = new ArrayList<>();
        boolean covered = true;
        for (Map.Entry<Integer, Integer> need : needs.entrySet()) {
            int open = need.getValue();
            while (covered && open > 0) {
                BlockUsage best = bestBlock(customer, need.getKey(), open);
                covered = best != null;
                if (covered) {
                    int part = Math.min(open, best.unclaimedAccelerators());
                    claims.add(state.claim(best, need.getKey(), part));
                    open -= part;
                }
            }
        }
        return confirmOrRollBack(customer, claims, covered, before);
    }

    private Optional<List<BlockClaim>> confirmOrRollBack(
            String customer, List<BlockClaim> claims, boolean covered, Layout before) {
        if (covered && state.layout().unplacedAccelerators() <= before.unplacedAccelerators()) {
            return Optional.of(claims);
        }
        state.releaseClaims(customer, claims);
        state.setLayout(before);
        return Optional.empty();
    }

    private BlockUsage bestBlock(String customer, int worker, int need) {
        Comparator<BlockUsage> order =
                Comparator.comparing((BlockUsage use) -> use.unclaimedAccelerators() < need)
                        .thenComparing(use -> !state.layoutUsesWorker(use, worker))
                        .thenComparing(BlockUsage::isFullyUnclaimed)
                        .thenComparing(use -> use.block().adjacency())
                        .thenComparingInt(
                                use ->
                                        use.unclaimedAccelerators() < need
                                                ? -use.unclaimedAccelerators()
                                                : use.unclaimedAccelerators());
        return state.blocksOf(customer).stream()
                .filter(use -> use.unclaimedAccelerators() > 0 && use.canClaimOn(topology, worker))
                .min(order)
                .orElse(null);
    }
}
