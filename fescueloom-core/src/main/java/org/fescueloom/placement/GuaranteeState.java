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
 * <p>The invariant of all plans is that the unclaimed parts of all guaranteed blocks can be laid
 * out at the same time on accelerators that are free or held by borrowers.
 */
final class GuaranteeState {
    private final Topology topology;
    private final Map<String, Map<String, BlockUsage>> blocks = new HashMap<>();
    private final int[] unclaimedCapacity;
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
            blocks.computeIfAbsent(block.customer(), c -> new LinkedHashMap<>())
                    .put(block.name(), new BlockUsage(block));
        }
        unclaimedCapacity = new int[topology.size()];
        for (int i = 0; i < unclaimedCapacity.length; i++) {
            WorkerView worker = topology.worker(i);
            boolean usable = worker.condition() == WorkerCondition.USABLE;
            unclaimedCapacity[i] = usable ? worker.accelerators() : 0;
        }
    }

    /**
     * Adds the claims of a running gang.
     *
     * @param gang the gang, not null
     * @return false if the gang has no claims or one of them is not valid, because its block no
     *     longer exists or is already claimed by other gangs; the gang then counts as a borrower
     */
    boolean addClaimsOf(Allocation gang) {
        if (gang.isBorrower()) {
            return false;
        }
        List<BlockClaim> addedClaims = new ArrayList<>();
        for (BlockClaim claim : gang.claims()) {
            int worker = topology.indexOf(claim.worker());
            BlockUsage usage = blocksByName(gang.spec().customer()).get(claim.block());
            boolean valid =
                    worker != Topology.UNKNOWN_WORKER
                            && usage != null
                            && usage.unclaimedAccelerators() >= claim.accelerators()
                            && usage.canClaimOn(topology, worker);
            if (!valid) {
                releaseClaims(gang.spec().customer(), addedClaims);
                return false;
            }
            addedClaims.add(claim(usage, worker, claim.accelerators()));
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
            int worker = topology.indexOf(claim.worker());
            blocksByName(customer).get(claim.block()).release(worker, claim.accelerators());
            adjustCapacity(worker, claim.accelerators());
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
        int[] accelerators = new int[unclaimedCapacity.length];
        for (BlockUsage usage : usages) {
            layout().placements()
                    .getOrDefault(usage.block(), Map.of())
                    .forEach((worker, count) -> accelerators[worker] += count);
        }
        return accelerators;
    }

    /** Returns the number of unclaimed accelerators in a customer's blocks. */
    int unclaimedAccelerators(String customer) {
        return blocksByName(customer).values().stream()
                .mapToInt(BlockUsage::unclaimedAccelerators)
                .sum();
    }

    /** Returns the guaranteed blocks that the layout cannot place, grouped by shape. */
    List<BrokenGuarantee> brokenGuarantees() {
        Map<GuaranteedBlock, Integer> counts = new LinkedHashMap<>();
        for (LayoutItem item : layout().unplaced()) {
            GuaranteedBlock block = item.block();
            GuaranteedBlock shapeKey =
                    new GuaranteedBlock(
                            block.customer(), "", block.accelerators(), block.adjacency());
            counts.merge(shapeKey, 1, Integer::sum);
        }
        List<BrokenGuarantee> broken = new ArrayList<>();
        counts.forEach(
                (shapeKey, count) ->
                        broken.add(
                                new BrokenGuarantee(
                                        shapeKey.customer(), shapeKey.shape(1), count)));
        return broken;
    }

    /**
     * Returns the layout of the unclaimed parts of all blocks. The layout is computed if it is not
     * known.
     */
    Layout layout() {
        if (layout == null) {
            List<LayoutItem> items = new ArrayList<>();
            blocks.values()
                    .forEach(
                            usages ->
                                    usages.values()
                                            .forEach(u -> u.unclaimedPart().ifPresent(items::add)));
            int[] available = new int[unclaimedCapacity.length];
            for (int i = 0; i < available.length; i++) {
                available[i] = Math.max(0, unclaimedCapacity[i]);
            }
            layout = LayoutSearch.find(topology, available, items);
        }
        return layout;
    }

    /**
     * Returns the number of accelerators of a worker that tasks are charged for: the accelerators
     * that the tasks use, or more if the tasks use a larger share of the worker's cores or memory.
     *
     * @param spec the specification of the gang, not null
     * @param worker the index of the worker
     * @param tasks the number of tasks of the gang on the worker
     * @return the number, at least 0
     */
    int acceleratorEquivalent(JobSpec spec, int worker, int tasks) {
        WorkerView view = topology.worker(worker);
        int accelerators = view.accelerators();
        long byCpus =
                proportionalAccelerators((long) tasks * spec.cpus(), view.cpus(), accelerators);
        long byMemory =
                proportionalAccelerators(tasks * spec.memoryMb(), view.memoryMb(), accelerators);
        long used = (long) tasks * spec.acceleratorsPerTask();
        return (int) Math.max(used, Math.max(byCpus, byMemory));
    }

    private static long proportionalAccelerators(long requested, long total, int accelerators) {
        return total <= 0 ? 0 : (requested * accelerators + total - 1) / total;
    }

    /** Returns the usage of each block of a customer. */
    Collection<BlockUsage> blocksOf(String customer) {
        return blocksByName(customer).values();
    }

    /** Returns whether the layout assigns accelerators of a worker to a block. */
    boolean layoutUsesWorker(BlockUsage usage, int worker) {
        return layout().placements().getOrDefault(usage.block(), Map.of()).getOrDefault(worker, 0)
                > 0;
    }

    /**
     * Claims a part of a block. The next call of {@link #layout} computes a new layout.
     *
     * @param usage the usage of the block, not null
     * @param worker the index of the worker
     * @param accelerators the number of accelerators, at least 1
     * @return the claim, never null
     */
    BlockClaim claim(BlockUsage usage, int worker, int accelerators) {
        usage.claim(topology, worker, accelerators);
        adjustCapacity(worker, -accelerators);
        layout = null;
        return new BlockClaim(usage.block().name(), topology.worker(worker).worker(), accelerators);
    }

    /** Sets a layout that is known to be valid. */
    void setLayout(Layout newLayout) {
        layout = newLayout;
    }

    private Map<String, BlockUsage> blocksByName(String customer) {
        return blocks.getOrDefault(customer, Map.of());
    }

    private void adjustCapacity(int worker, int accelerators) {
        if (topology.worker(worker).condition() == WorkerCondition.USABLE) {
            unclaimedCapacity[worker] += accelerators;
        }
    }
}
