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
 * Keeps the invariant of all plans: the unclaimed part of every guaranteed block can be laid out,
 * all at once, on accelerators that are free or held by borrowers. Mutable and confined to one
 * planning round.
 */
final class GuaranteeState {
    private final Topology topology;
    private final Map<String, Map<String, BlockUsage>> blocks = new HashMap<>();
    private final int[] unclaimedCapacity;
    private Layout layout;

    /**
     * Creates the state in which nothing is claimed.
     *
     * @param topology the workers, not null
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
            boolean counts = worker.condition() == WorkerCondition.USABLE;
            unclaimedCapacity[i] = counts ? worker.accelerators() : 0;
        }
    }

    /**
     * Takes over the claims of a running gang.
     *
     * @param gang the gang, not null
     * @return false if a block of a claim no longer exists or is claimed otherwise; the gang is
     *     then a borrower
     */
    boolean addClaimsOf(Allocation gang) {
        if (gang.isBorrower()) {
            return false;
        }
        List<BlockClaim> used = new ArrayList<>();
        for (BlockClaim claim : gang.claims()) {
            int worker = topology.indexOf(claim.worker());
            BlockUsage use = blocksByName(gang.spec().customer()).get(claim.block());
            boolean valid =
                    worker != Topology.UNKNOWN_WORKER
                            && use != null
                            && use.unclaimedAccelerators() >= claim.accelerators()
                            && use.canClaimOn(topology, worker);
            if (!valid) {
                releaseClaims(gang.spec().customer(), used);
                return false;
            }
            used.add(claim(use, worker, claim.accelerators()));
        }
        layout = null;
        return true;
    }

    /**
     * Frees the claims of a gang that is going to stop.
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
     * Returns how many accelerators of each worker the layout keeps for some blocks.
     *
     * @param uses the blocks, not null
     * @return the numbers by the index of the worker, never null
     */
    int[] layoutAccelerators(Collection<BlockUsage> uses) {
        int[] kept = new int[unclaimedCapacity.length];
        for (BlockUsage use : uses) {
            layout().placements()
                    .getOrDefault(use.block(), Map.of())
                    .forEach((worker, count) -> kept[worker] += count);
        }
        return kept;
    }

    /** Returns how many accelerators of a customer's blocks are unclaimed. */
    int unclaimedAccelerators(String customer) {
        return blocksByName(customer).values().stream()
                .mapToInt(BlockUsage::unclaimedAccelerators)
                .sum();
    }

    /** Returns the guaranteed blocks that no room is left for, by shape. */
    List<BrokenGuarantee> brokenGuarantees() {
        Map<GuaranteedBlock, Integer> counts = new LinkedHashMap<>();
        for (LayoutItem item : layout().unplaced()) {
            GuaranteedBlock block = item.block();
            GuaranteedBlock kind =
                    new GuaranteedBlock(
                            block.customer(), "", block.accelerators(), block.adjacency());
            counts.merge(kind, 1, Integer::sum);
        }
        List<BrokenGuarantee> broken = new ArrayList<>();
        counts.forEach(
                (kind, count) ->
                        broken.add(new BrokenGuarantee(kind.customer(), kind.shape(1), count)));
        return broken;
    }

    /** Returns the layout of everything unclaimed. */
    Layout layout() {
        if (layout == null) {
            List<LayoutItem> items = new ArrayList<>();
            blocks.values()
                    .forEach(
                            uses ->
                                    uses.values()
                                            .forEach(u -> u.unclaimedPart().ifPresent(items::add)));
            int[] room = new int[unclaimedCapacity.length];
            for (int i = 0; i < room.length; i++) {
                room[i] = Math.max(0, unclaimedCapacity[i]);
            }
            layout = LayoutSearch.find(topology, room, items);
        }
        return layout;
    }

    /**
     * Returns how many accelerators of a worker some tasks stand for: those that they use, or more
     * if their part of the cores or of the memory is larger.
     *
     * @param spec the gang, not null
     * @param worker the index of the worker
     * @param tasks how many of its tasks run there
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

    private static long proportionalAccelerators(long asked, long whole, int accelerators) {
        return whole <= 0 ? 0 : (asked * accelerators + whole - 1) / whole;
    }

    /** Returns the blocks of a customer. */
    Collection<BlockUsage> blocksOf(String customer) {
        return blocksByName(customer).values();
    }

    /** Tells whether the layout keeps part of a block on a worker. */
    boolean layoutUsesWorker(BlockUsage use, int worker) {
        return layout().placements().getOrDefault(use.block(), Map.of()).getOrDefault(worker, 0)
                > 0;
    }

    /**
     * Claims a part of a block; the layout is looked for again when it is asked for next.
     *
     * @param claim the block, not null
     * @param worker the index of the worker
     * @param accelerators how many accelerators, at least 1
     * @return the claim, never null
     */
    BlockClaim claim(BlockUsage use, int worker, int accelerators) {
        use.claim(topology, worker, accelerators);
        adjustCapacity(worker, -accelerators);
        layout = null;
        return new BlockClaim(use.block().name(), topology.worker(worker).worker(), accelerators);
    }

    /** Sets a layout that is known to be valid. */
    void setLayout(Layout known) {
        layout = known;
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
