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
 * Claims guaranteed blocks of customers for their gangs.
 *
 * <p>A gang that fits into the unclaimed part of one block gets a claim on one block only, the
 * block with the least left over, so that other blocks stay whole for gangs of their shape. A
 * larger gang gets claims on several blocks.
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
     * Claims the accelerators of a gang from its customer's blocks if the remaining unclaimed
     * blocks can still be laid out.
     *
     * @param spec the specification of the gang, not null
     * @param members the placements of the tasks, not null
     * @return the claims; empty, and nothing is claimed, if the customer's blocks do not cover the
     *     gang or the remaining unclaimed blocks could not be laid out
     */
    Optional<List<BlockClaim>> claim(JobSpec spec, List<TaskPlacement> members) {
        Map<Integer, Integer> neededByWorker = new TreeMap<>();
        members.forEach(m -> neededByWorker.merge(topology.indexOf(m.worker()), 1, Integer::sum));
        neededByWorker.replaceAll(
                (worker, tasks) -> state.acceleratorEquivalent(spec, worker, tasks));
        List<BlockUsage> covering = findCoveringBlocks(spec);
        if (covering.isEmpty()) {
            return claimFromSeveralBlocks(spec.customer(), neededByWorker);
        }
        for (BlockUsage usage : covering) {
            if (layoutCovers(usage, neededByWorker)) {
                return Optional.of(claimFromLayout(usage, neededByWorker));
            }
        }
        for (BlockUsage usage : covering) {
            Optional<List<BlockClaim>> claims = claimFromOneBlock(usage, neededByWorker);
            if (claims.isPresent()) {
                return claims;
            }
        }
        return Optional.empty();
    }

    /**
     * Finds blocks of the gang's customer whose unclaimed part covers the whole gang. If the
     * unclaimed part of some blocks is exactly as large as the gang, only these blocks are
     * returned, and of these only the ones with the loosest adjacency.
     *
     * @param spec the specification of the gang, not null
     * @return blocks with different equivalence keys, at most {@link #MAX_BLOCKS_TRIED}, the best
     *     first
     */
    List<BlockUsage> findCoveringBlocks(JobSpec spec) {
        int totalAccelerators = spec.tasks() * spec.acceleratorsPerTask();
        List<BlockUsage> found = new ArrayList<>();
        Optional<Adjacency> loosestExact = Optional.empty();
        for (BlockUsage usage : state.blocksOf(spec.customer())) {
            if (usage.unclaimedAccelerators() >= totalAccelerators) {
                found.add(usage);
                boolean looser =
                        loosestExact.isEmpty()
                                || usage.block().adjacency().compareTo(loosestExact.get()) > 0;
                if (isExactFit(usage, spec, totalAccelerators) && looser) {
                    loosestExact = Optional.of(usage.block().adjacency());
                }
            }
        }
        loosestExact.ifPresent(
                loosest ->
                        found.removeIf(
                                usage ->
                                        !isExactFit(usage, spec, totalAccelerators)
                                                || usage.block().adjacency() != loosest));
        found.sort(
                Comparator.comparing(
                                (BlockUsage usage) ->
                                        usage.block().adjacency().compareTo(spec.adjacency()) > 0)
                        .thenComparing(BlockUsage::isFullyUnclaimed)
                        .thenComparingInt(BlockUsage::unclaimedAccelerators)
                        .thenComparing(
                                Comparator.comparing((BlockUsage u) -> u.block().adjacency())
                                        .reversed()));
        Set<LayoutItem> seenKeys = new HashSet<>();
        found.removeIf(usage -> !seenKeys.add(usage.equivalenceKey()));
        return found.subList(0, Math.min(MAX_BLOCKS_TRIED, found.size()));
    }

    private static boolean isExactFit(BlockUsage usage, JobSpec spec, int totalAccelerators) {
        boolean tightEnough = usage.block().adjacency().compareTo(spec.adjacency()) <= 0;
        return usage.unclaimedAccelerators() == totalAccelerators && tightEnough;
    }

    private boolean layoutCovers(BlockUsage usage, Map<Integer, Integer> neededByWorker) {
        Map<Integer, Integer> placement =
                state.layout().placements().getOrDefault(usage.block(), Map.of());
        return neededByWorker.entrySet().stream()
                .allMatch(need -> placement.getOrDefault(need.getKey(), 0) >= need.getValue());
    }

    /**
     * Claims accelerators that the layout assigns to the block on the workers of the gang. The rest
     * of the layout stays valid.
     */
    private List<BlockClaim> claimFromLayout(
            BlockUsage usage, Map<Integer, Integer> neededByWorker) {
        Layout previousLayout = state.layout();
        Map<GuaranteedBlock, Map<Integer, Integer>> placements =
                new HashMap<>(previousLayout.placements());
        Map<Integer, Integer> remaining = new HashMap<>(placements.get(usage.block()));
        List<BlockClaim> claims = new ArrayList<>();
        neededByWorker.forEach(
                (worker, need) -> {
                    remaining.merge(worker, -need, Integer::sum);
                    claims.add(state.claim(usage, worker, need));
                });
        placements.put(usage.block(), remaining);
        state.setLayout(new Layout(placements, previousLayout.unplaced()));
        return claims;
    }

    private Optional<List<BlockClaim>> claimFromOneBlock(
            BlockUsage usage, Map<Integer, Integer> neededByWorker) {
        Layout previousLayout = state.layout();
        List<BlockClaim> claims = new ArrayList<>();
        boolean covered = true;
        for (Map.Entry<Integer, Integer> need : neededByWorker.entrySet()) {
            covered =
                    covered
                            && usage.unclaimedAccelerators() >= need.getValue()
                            && usage.canClaimOn(topology, need.getKey());
            if (covered) {
                claims.add(state.claim(usage, need.getKey(), need.getValue()));
            }
        }
        return confirmOrRollBack(usage.block().customer(), claims, covered, previousLayout);
    }

    private Optional<List<BlockClaim>> claimFromSeveralBlocks(
            String customer, Map<Integer, Integer> neededByWorker) {
        Layout previousLayout = state.layout();
        List<BlockClaim> claims = new ArrayList<>();
        boolean covered = true;
        for (Map.Entry<Integer, Integer> need : neededByWorker.entrySet()) {
            int remaining = need.getValue();
            while (covered && remaining > 0) {
                BlockUsage best = bestBlock(customer, need.getKey(), remaining);
                covered = best != null;
                if (covered) {
                    int part = Math.min(remaining, best.unclaimedAccelerators());
                    claims.add(state.claim(best, need.getKey(), part));
                    remaining -= part;
                }
            }
        }
        return confirmOrRollBack(customer, claims, covered, previousLayout);
    }

    private Optional<List<BlockClaim>> confirmOrRollBack(
            String customer, List<BlockClaim> claims, boolean covered, Layout previousLayout) {
        if (covered
                && state.layout().unplacedAccelerators() <= previousLayout.unplacedAccelerators()) {
            return Optional.of(claims);
        }
        state.releaseClaims(customer, claims);
        state.setLayout(previousLayout);
        return Optional.empty();
    }

    private BlockUsage bestBlock(String customer, int worker, int need) {
        Comparator<BlockUsage> order =
                Comparator.comparing((BlockUsage usage) -> usage.unclaimedAccelerators() < need)
                        .thenComparing(usage -> !state.layoutUsesWorker(usage, worker))
                        .thenComparing(BlockUsage::isFullyUnclaimed)
                        .thenComparing(usage -> usage.block().adjacency())
                        .thenComparingInt(
                                usage ->
                                        usage.unclaimedAccelerators() < need
                                                ? -usage.unclaimedAccelerators()
                                                : usage.unclaimedAccelerators());
        return state.blocksOf(customer).stream()
                .filter(
                        usage ->
                                usage.unclaimedAccelerators() > 0
                                        && usage.canClaimOn(topology, worker))
                .min(order)
                .orElse(null);
    }
}
