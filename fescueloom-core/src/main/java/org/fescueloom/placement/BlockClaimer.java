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
    /** The maximum number of blocks that are tried for one gang. */
    private static final int MAX_BLOCKS_TRIED = 4;

    private final Topology topology;
    private final GuaranteeState guarantees;

    BlockClaimer(Topology topology, GuaranteeState guarantees) {
        this.topology = topology;
        this.guarantees = guarantees;
    }

    /**
     * Claims accelerators for a gang from its customer's blocks, if the claims do not increase the
     * number of unclaimed accelerators that the layout cannot place.
     *
     * @param spec the specification of the gang, not null
     * @param members the placements of the tasks, not null
     * @return the claims; empty, and nothing is claimed, if the customer's blocks do not cover the
     *     gang or the layout could place fewer of the remaining accelerators than before
     */
    Optional<List<BlockClaim>> claim(JobSpec spec, List<TaskPlacement> members) {
        // First the number of tasks on each worker, then the accelerators to claim on the worker.
        Map<Integer, Integer> neededByWorker = new TreeMap<>();
        members.forEach(m -> neededByWorker.merge(topology.indexOf(m.worker()), 1, Integer::sum));
        neededByWorker.replaceAll(
                (workerIndex, tasks) -> guarantees.acceleratorsToClaim(spec, workerIndex, tasks));
        List<BlockUsage> coveringUsages = findCoveringBlocks(spec);
        if (coveringUsages.isEmpty()) {
            return claimFromSeveralBlocks(spec.customer(), neededByWorker);
        }
        for (BlockUsage usage : coveringUsages) {
            if (layoutCovers(usage, neededByWorker)) {
                return Optional.of(claimFromLayout(usage, neededByWorker));
            }
        }
        for (BlockUsage usage : coveringUsages) {
            Optional<List<BlockClaim>> claims = claimFromOneBlock(usage, neededByWorker);
            if (claims.isPresent()) {
                return claims;
            }
        }
        return Optional.empty();
    }

    /**
     * Finds blocks of the gang's customer whose unclaimed part covers the whole gang. If some of
     * these blocks fit exactly, only the exactly fitting blocks with the loosest adjacency are
     * returned. A block fits exactly if its unclaimed part is as large as the gang and its
     * adjacency is at least as tight.
     *
     * <p>Blocks whose adjacency is not looser than the gang's come first, among these the blocks
     * with claims, then those with the smallest unclaimed part, and then those with the loosest
     * adjacency.
     *
     * @param spec the specification of the gang, not null
     * @return at most {@link #MAX_BLOCKS_TRIED} blocks in this order; only the first of blocks that
     *     are interchangeable
     */
    List<BlockUsage> findCoveringBlocks(JobSpec spec) {
        int totalAccelerators = spec.tasks() * spec.acceleratorsPerTask();
        List<BlockUsage> coveringUsages = new ArrayList<>();
        Optional<Adjacency> loosestExact = Optional.empty();
        for (BlockUsage usage : guarantees.usagesOf(spec.customer())) {
            if (usage.unclaimedAccelerators() >= totalAccelerators) {
                coveringUsages.add(usage);
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
                        coveringUsages.removeIf(
                                usage ->
                                        !isExactFit(usage, spec, totalAccelerators)
                                                || usage.block().adjacency() != loosest));
        coveringUsages.sort(
                Comparator.comparing(
                                (BlockUsage usage) ->
                                        usage.block().adjacency().compareTo(spec.adjacency()) > 0)
                        .thenComparing(BlockUsage::isFullyUnclaimed)
                        .thenComparingInt(BlockUsage::unclaimedAccelerators)
                        .thenComparing(
                                Comparator.comparing((BlockUsage u) -> u.block().adjacency())
                                        .reversed()));
        Set<LayoutItem> seenKeys = new HashSet<>();
        coveringUsages.removeIf(usage -> !seenKeys.add(usage.equivalenceKey()));
        return coveringUsages.subList(0, Math.min(MAX_BLOCKS_TRIED, coveringUsages.size()));
    }

    private static boolean isExactFit(BlockUsage usage, JobSpec spec, int totalAccelerators) {
        boolean tightEnough = usage.block().adjacency().compareTo(spec.adjacency()) <= 0;
        return usage.unclaimedAccelerators() == totalAccelerators && tightEnough;
    }

    /** Returns whether the layout assigns the block all accelerators that the gang must claim. */
    private boolean layoutCovers(BlockUsage usage, Map<Integer, Integer> neededByWorker) {
        Map<Integer, Integer> placement =
                guarantees.layout().placements().getOrDefault(usage.block(), Map.of());
        return neededByWorker.entrySet().stream()
                .allMatch(need -> placement.getOrDefault(need.getKey(), 0) >= need.getValue());
    }

    /**
     * Claims accelerators that the layout assigns to the block on the workers of the gang. The rest
     * of the layout stays valid.
     */
    private List<BlockClaim> claimFromLayout(
            BlockUsage usage, Map<Integer, Integer> neededByWorker) {
        Layout previousLayout = guarantees.layout();
        Map<GuaranteedBlock, Map<Integer, Integer>> placements =
                new HashMap<>(previousLayout.placements());
        Map<Integer, Integer> remaining = new HashMap<>(placements.get(usage.block()));
        List<BlockClaim> claims = new ArrayList<>();
        neededByWorker.forEach(
                (workerIndex, need) -> {
                    remaining.merge(workerIndex, -need, Integer::sum);
                    claims.add(guarantees.claim(usage, workerIndex, need));
                });
        placements.put(usage.block(), remaining);
        guarantees.setLayout(new Layout(placements, previousLayout.unplaced()));
        return claims;
    }

    private Optional<List<BlockClaim>> claimFromOneBlock(
            BlockUsage usage, Map<Integer, Integer> neededByWorker) {
        Layout previousLayout = guarantees.layout();
        List<BlockClaim> claims = new ArrayList<>();
        boolean covered = true;
        for (Map.Entry<Integer, Integer> need : neededByWorker.entrySet()) {
            covered =
                    covered
                            && usage.unclaimedAccelerators() >= need.getValue()
                            && usage.canClaimOn(topology, need.getKey());
            if (covered) {
                claims.add(guarantees.claim(usage, need.getKey(), need.getValue()));
            }
        }
        return confirmOrRollBack(usage.block().customer(), claims, covered, previousLayout);
    }

    private Optional<List<BlockClaim>> claimFromSeveralBlocks(
            String customer, Map<Integer, Integer> neededByWorker) {
        Layout previousLayout = guarantees.layout();
        List<BlockClaim> claims = new ArrayList<>();
        boolean covered = true;
        for (Map.Entry<Integer, Integer> need : neededByWorker.entrySet()) {
            int remaining = need.getValue();
            while (covered && remaining > 0) {
                BlockUsage best = bestBlock(customer, need.getKey(), remaining);
                covered = best != null;
                if (covered) {
                    int part = Math.min(remaining, best.unclaimedAccelerators());
                    claims.add(guarantees.claim(best, need.getKey(), part));
                    remaining -= part;
                }
            }
        }
        return confirmOrRollBack(customer, claims, covered, previousLayout);
    }

    /**
     * Returns the given claims if they cover the gang and the layout leaves no more unclaimed
     * accelerators without a place than the previous layout. Otherwise releases the claims,
     * restores the previous layout and returns empty.
     */
    private Optional<List<BlockClaim>> confirmOrRollBack(
            String customer, List<BlockClaim> claims, boolean covered, Layout previousLayout) {
        if (covered
                && guarantees.layout().unplacedAccelerators()
                        <= previousLayout.unplacedAccelerators()) {
            return Optional.of(claims);
        }
        guarantees.releaseClaims(customer, claims);
        guarantees.setLayout(previousLayout);
        return Optional.empty();
    }

    /**
     * Returns the block that is preferred for a claim on a worker; null if no block of the customer
     * has unclaimed accelerators and allows claims on the worker. A block that covers the needed
     * accelerators alone is preferred, then a block to which the layout assigns accelerators of the
     * worker, then a block that has claims, and then a block with a tighter adjacency.
     */
    private BlockUsage bestBlock(String customer, int workerIndex, int neededAccelerators) {
        Comparator<BlockUsage> order =
                Comparator.comparing(
                                (BlockUsage usage) ->
                                        usage.unclaimedAccelerators() < neededAccelerators)
                        .thenComparing(usage -> !guarantees.layoutUsesWorker(usage, workerIndex))
                        .thenComparing(BlockUsage::isFullyUnclaimed)
                        .thenComparing(usage -> usage.block().adjacency())
                        .thenComparingInt(
                                usage ->
                                        usage.unclaimedAccelerators() < neededAccelerators
                                                ? -usage.unclaimedAccelerators()
                                                : usage.unclaimedAccelerators());
        return guarantees.usagesOf(customer).stream()
                .filter(
                        usage ->
                                usage.unclaimedAccelerators() > 0
                                        && usage.canClaimOn(topology, workerIndex))
                .min(order)
                .orElse(null);
    }
}
