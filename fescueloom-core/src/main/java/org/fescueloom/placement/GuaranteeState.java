package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.job.BlockClaim;
import org.fescueloom.job.JobSpec;

/**
 * Tracks the claims on guaranteed blocks and computes the layout of the unclaimed parts. Mutable;
 * an instance belongs to one planning round.
 *
 * <p>The invariant of all plans: if the unclaimed parts of all guaranteed blocks could be laid out
 * at the same time before the round, on accelerators that are free or held by borrowers, they still
 * can be after it. Blocks that cannot be laid out before the round, for example because workers are
 * out of service, are reported as broken guarantees.
 */
final class GuaranteeState {
    private final Topology topology;

    /** The usage of each block, by customer and then by the name of the block. */
    private final Map<String, Map<String, BlockUsage>> usagesByCustomer = new HashMap<>();

    /**
     * The number of unclaimed accelerators of each worker in condition {@code USABLE}, by the index
     * of the worker. The number is negative if the claims, which are rounded up for each gang,
     * exceed the accelerators of the worker. Workers in other conditions have no accelerators for
     * layouts.
     */
    private final int[] unclaimedByWorker;

    /** The layout; null if claims have changed since the last layout was computed. */
    private Layout layout;

    /**
     * Creates a state without claims.
     *
     * @param topology the topology of the workers, not null
     * @param customers the customers and their guarantees, not null
     */
    GuaranteeState(Topology topology, List<CustomerPolicy> customers) {
        this.topology = topology;
        for (GuaranteedBlock block : GuaranteedBlock.allOf(customers)) {
            usagesByCustomer
                    .computeIfAbsent(block.customer(), c -> new LinkedHashMap<>())
                    .put(block.name(), new BlockUsage(block));
        }
        unclaimedByWorker = new int[topology.size()];
        for (int i = 0; i < unclaimedByWorker.length; i++) {
            WorkerView workerView = topology.worker(i);
            boolean usable = workerView.condition() == WorkerCondition.USABLE;
            unclaimedByWorker[i] = usable ? workerView.accelerators() : 0;
        }
    }

    /**
     * Adds the claims of a running gang.
     *
     * @param allocation the running gang, not null
     * @return false if the gang has no claims or one of its claims is not valid; the gang then
     *     counts as a borrower. A claim is not valid if its worker is unknown, if its block no
     *     longer exists or has too few unclaimed accelerators, or if the worker is not in the
     *     topology domain of the block's other claims.
     */
    boolean addClaimsOf(Allocation allocation) {
        if (allocation.isBorrower()) {
            return false;
        }
        List<BlockClaim> addedClaims = new ArrayList<>();
        for (BlockClaim claim : allocation.claims()) {
            int workerIndex = topology.indexOf(claim.worker());
            BlockUsage usage = usagesByName(allocation.spec().customer()).get(claim.block());
            boolean valid =
                    workerIndex != Topology.UNKNOWN_WORKER
                            && usage != null
                            && usage.unclaimedAccelerators() >= claim.accelerators()
                            && usage.canClaimOn(topology, workerIndex);
            if (!valid) {
                releaseClaims(allocation.spec().customer(), addedClaims);
                return false;
            }
            addedClaims.add(claim(usage, workerIndex, claim.accelerators()));
        }
        layout = null;
        return true;
    }

    /**
     * Releases claims on the blocks of a customer.
     *
     * @param customer the customer, not null
     * @param claims the claims, not null
     */
    void releaseClaims(String customer, List<BlockClaim> claims) {
        for (BlockClaim claim : claims) {
            int workerIndex = topology.indexOf(claim.worker());
            usagesByName(customer).get(claim.block()).release(workerIndex, claim.accelerators());
            adjustUnclaimed(workerIndex, claim.accelerators());
        }
        layout = null;
    }

    /**
     * Returns the number of accelerators on each worker that the layout assigns to the given
     * blocks.
     *
     * @param usages the usages of the blocks, not null
     * @return the numbers, by the index of the worker, never null
     */
    int[] layoutAccelerators(Collection<BlockUsage> usages) {
        int[] accelerators = new int[unclaimedByWorker.length];
        for (BlockUsage usage : usages) {
            layout().placements()
                    .getOrDefault(usage.block(), Map.of())
                    .forEach((workerIndex, count) -> accelerators[workerIndex] += count);
        }
        return accelerators;
    }

    /** Returns the number of unclaimed accelerators in a customer's blocks. */
    int unclaimedAccelerators(String customer) {
        return usagesByName(customer).values().stream()
                .mapToInt(BlockUsage::unclaimedAccelerators)
                .sum();
    }

    /**
     * Returns, by customer and shape, the number of guaranteed blocks whose unclaimed part the
     * layout cannot place.
     */
    List<BrokenGuarantee> brokenGuarantees() {
        Map<GuaranteedBlock, Integer> countByShape = new LinkedHashMap<>();
        for (LayoutItem item : layout().unplaced()) {
            GuaranteedBlock block = item.block();
            GuaranteedBlock shapeKey =
                    new GuaranteedBlock(
                            block.customer(), "", block.accelerators(), block.adjacency());
            countByShape.merge(shapeKey, 1, Integer::sum);
        }
        List<BrokenGuarantee> broken = new ArrayList<>();
        countByShape.forEach(
                (shapeKey, count) ->
                        broken.add(
                                new BrokenGuarantee(
                                        shapeKey.customer(), shapeKey.shape(1), count)));
        return broken;
    }

    /**
     * Returns the layout of the unclaimed parts of all blocks. Computes the layout if claims have
     * changed since the last call.
     */
    Layout layout() {
        if (layout == null) {
            List<LayoutItem> items = new ArrayList<>();
            usagesByCustomer
                    .values()
                    .forEach(
                            usages ->
                                    usages.values()
                                            .forEach(u -> u.unclaimedPart().ifPresent(items::add)));
            int[] available = new int[unclaimedByWorker.length];
            for (int i = 0; i < available.length; i++) {
                available[i] = Math.max(0, unclaimedByWorker[i]);
            }
            layout = LayoutSearch.find(topology, available, items);
        }
        return layout;
    }

    /**
     * Returns the number of accelerators that a gang must claim on a worker: the accelerators that
     * its tasks use, or more if the tasks use a larger share of the worker's cores or memory.
     *
     * @param spec the specification of the gang, not null
     * @param workerIndex the index of the worker
     * @param tasks the number of tasks of the gang on the worker
     * @return the number, at least 0
     */
    int acceleratorsToClaim(JobSpec spec, int workerIndex, int tasks) {
        WorkerView workerView = topology.worker(workerIndex);
        int accelerators = workerView.accelerators();
        long byCpus =
                proportionalAccelerators(
                        (long) tasks * spec.cpus(), workerView.cpus(), accelerators);
        long byMemory =
                proportionalAccelerators(
                        tasks * spec.memoryMb(), workerView.memoryMb(), accelerators);
        long used = (long) tasks * spec.acceleratorsPerTask();
        return (int) Math.max(used, Math.max(byCpus, byMemory));
    }

    /**
     * Returns the number of accelerators, rounded up, that is the same share of a worker's
     * accelerators as the requested amount is of the total; 0 if the total is 0.
     */
    private static long proportionalAccelerators(long requested, long total, int accelerators) {
        return total <= 0 ? 0 : (requested * accelerators + total - 1) / total;
    }

    /** Returns the usage of each block of a customer. */
    Collection<BlockUsage> usagesOf(String customer) {
        return usagesByName(customer).values();
    }

    /** Returns whether the layout assigns accelerators of a worker to a block. */
    boolean layoutUsesWorker(BlockUsage usage, int workerIndex) {
        return layout().placements()
                        .getOrDefault(usage.block(), Map.of())
                        .getOrDefault(workerIndex, 0)
                > 0;
    }

    /**
     * Claims a part of a block. The next call of {@link #layout} computes a new layout.
     *
     * @param usage the usage of the block, not null
     * @param workerIndex the index of the worker
     * @param accelerators the number of accelerators, at least 1
     * @return the claim, never null
     */
    BlockClaim claim(BlockUsage usage, int workerIndex, int accelerators) {
        usage.claim(topology, workerIndex, accelerators);
        adjustUnclaimed(workerIndex, -accelerators);
        layout = null;
        return new BlockClaim(
                usage.block().name(), topology.worker(workerIndex).worker(), accelerators);
    }

    /**
     * Sets the layout, which the caller has derived for the current claims, so that it need not be
     * computed again.
     */
    void setLayout(Layout newLayout) {
        layout = newLayout;
    }

    private Map<String, BlockUsage> usagesByName(String customer) {
        return usagesByCustomer.getOrDefault(customer, Map.of());
    }

    private void adjustUnclaimed(int workerIndex, int accelerators) {
        if (topology.worker(workerIndex).condition() == WorkerCondition.USABLE) {
            unclaimedByWorker[workerIndex] += accelerators;
        }
    }
}
