package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.job.BlockClaim;

/**
 * Simulates a small cluster with random job arrivals, gang ends and zone losses, and plans it round
 * by round.
 */
final class SmallClusterSimulation {
    private static final long ROUND_MILLIS = 1_000L;

    final Random random;
    final List<CustomerPolicy> customers;
    final Map<String, WaitingJob> waiting = new LinkedHashMap<>();
    final Map<String, Allocation> running = new LinkedHashMap<>();
    private final Planner planner;
    private List<WorkerView> workers;
    private long nowMillis;
    private int jobCount;

    SmallClusterSimulation(Random random, Planner planner) {
        this.random = random;
        this.planner = planner;
        workers = SmallClusters.workers(random);
        customers = SmallClusters.customers(random, workers);
    }

    Topology topology() {
        return new Topology(workers);
    }

    @Override
    public String toString() {
        return workers + " " + customers + " " + running.values();
    }

    /** Ends the stopping gangs, and other gangs at random, and adds jobs at random. */
    void changeLoadAtRandom() {
        nowMillis += ROUND_MILLIS;
        running.values().removeIf(a -> a.stopping() || random.nextInt(5) == 0);
        for (int i = random.nextInt(3); i > 0; i--) {
            add(SmallClusters.job(random, "j" + jobCount++, nowMillis));
        }
    }

    /**
     * Takes one random zone out of service and returns all others to service. If the cluster has no
     * zone of the chosen name, all zones are in service.
     */
    void takeOneZoneOut() {
        String zoneOut = "z" + random.nextInt(3);
        workers =
                workers.stream()
                        .map(
                                w ->
                                        w.withCondition(
                                                w.zone().equals(zoneOut)
                                                        ? WorkerCondition.ZONE_OUT
                                                        : WorkerCondition.USABLE))
                        .toList();
        running.values()
                .removeIf(
                        a ->
                                a.members().stream()
                                        .anyMatch(
                                                m ->
                                                        !worker(m.worker())
                                                                .condition()
                                                                .acceptsTasks()));
    }

    void add(WaitingJob job) {
        waiting.put(job.job(), job);
    }

    String nextId() {
        return "j" + jobCount++;
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Plans one round and applies its decisions. */
    Plan runRound() {
        ClusterView cluster = new ClusterView(workers, List.copyOf(running.values()));
        Plan plan =
                planner.plan(
                        new PlanInput(
                                nowMillis,
                                cluster,
                                List.copyOf(waiting.values()),
                                customers,
                                null));
        plan.decisions(PreemptGang.class).forEach(p -> markStopping(p.job()));
        plan.decisions(MoveGang.class).forEach(m -> markStopping(m.job()));
        plan.decisions(RejectJob.class).forEach(r -> waiting.remove(r.job()));
        plan.decisions(StartGang.class).forEach(this::start);
        return plan;
    }

    private void start(StartGang start) {
        WaitingJob job = waiting.remove(start.job());
        running.put(
                start.job(),
                new Allocation(
                        start.job(),
                        job.spec(),
                        start.members(),
                        start.claims(),
                        nowMillis,
                        nowMillis,
                        start.expectedEndMillis(),
                        false));
    }

    /** Marks a gang as stopping and removes its claims. */
    private void markStopping(String job) {
        running.computeIfPresent(
                job,
                (id, a) ->
                        new Allocation(
                                id,
                                a.spec(),
                                a.members(),
                                null,
                                a.startedAtMillis(),
                                a.checkpointedAtMillis(),
                                a.expectedEndMillis(),
                                true));
    }

    private WorkerView worker(String name) {
        return workers.stream().filter(w -> w.worker().equals(name)).findFirst().orElseThrow();
    }

    /** Returns whether all unclaimed blocks can be laid out, found by exhaustive search. */
    boolean layoutExists() {
        Topology topology = topology();
        int[] capacity = new int[topology.size()];
        for (int i = 0; i < capacity.length; i++) {
            boolean usable = topology.worker(i).condition() == WorkerCondition.USABLE;
            capacity[i] = usable ? topology.worker(i).accelerators() : 0;
        }
        List<LayoutItem> items = new ArrayList<>();
        for (GuaranteedBlock block : GuaranteedBlock.allOf(customers)) {
            int unclaimed = block.accelerators();
            int domain = LayoutItem.ANY_DOMAIN;
            for (BlockClaim claim : claims(block)) {
                int workerIndex = topology.indexOf(claim.worker());
                unclaimed -= claim.accelerators();
                capacity[workerIndex] -= claim.accelerators();
                domain = topology.domainIndexOf(block.adjacency(), workerIndex);
            }
            if (unclaimed > 0) {
                items.add(new LayoutItem(block, unclaimed, domain));
            }
        }
        // Claims may exceed the capacity of a worker, for example of a worker that is not usable.
        Arrays.setAll(capacity, i -> Math.max(0, capacity[i]));
        return ExhaustiveLayoutSearch.exists(topology, capacity, items);
    }

    /** Returns the claims of the gangs on a block. */
    List<BlockClaim> claims(GuaranteedBlock block) {
        return running.values().stream()
                .filter(a -> a.spec().customer().equals(block.customer()))
                .flatMap(a -> a.claims().stream())
                .filter(c -> c.block().equals(block.name()))
                .toList();
    }
}
