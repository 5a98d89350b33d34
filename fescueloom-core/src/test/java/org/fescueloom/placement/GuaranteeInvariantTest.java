package org.fescueloom.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescueloom.job.BlockClaim;
import org.junit.jupiter.api.Test;

/**
 * Checks on small clusters that the unclaimed guaranteed blocks of all customers can be laid out
 * and claimed after every plan.
 */
class GuaranteeInvariantTest {
    private static final int ROUNDS = 12;

    @Property(tries = 400, seed = "11")
    void unclaimedBlocksCanBeLaidOutAfterEveryPlan(@ForAll Random random) {
        Planner planner = PlacementPolicy.BUDDY_COMPACTION.planner();
        assertThat(findViolation(new SmallClusterSimulation(random, planner))).isEmpty();
    }

    /** Guards against a check of the invariant that never reports a violation. */
    @Test
    void findsAViolationWhenAPlannerOnlyCountsClaims() {
        Planner countingPlanner = new CountingPlanner();
        int violations = 0;
        for (int seed = 0; seed < 100; seed++) {
            Random random = new Random(seed);
            violations +=
                    findViolation(new SmallClusterSimulation(random, countingPlanner)).isPresent()
                            ? 1
                            : 0;
        }
        assertThat(violations).isPositive();
    }

    /**
     * Guards against a customer that waits for its guarantee: one job for each unclaimed block must
     * start at once, or after the borrowers that the plan preempts have stopped.
     */
    @Property(tries = 300, seed = "12")
    void everyUnclaimedBlockCanBeClaimed(@ForAll Random random) {
        SmallClusterSimulation simulation =
                new SmallClusterSimulation(random, PlacementPolicy.BUDDY_COMPACTION.planner());
        for (int i = 0; i < ROUNDS; i++) {
            simulation.changeLoadAtRandom();
            simulation.runRound();
        }
        simulation.waiting.clear();
        List<String> claimingJobs = new ArrayList<>();
        for (GuaranteedBlock block : GuaranteedBlock.allOf(simulation.customers)) {
            if (simulation.claims(block).isEmpty()) {
                String id = simulation.nextId();
                claimingJobs.add(id);
                simulation.add(SmallClusters.jobForBlock(block, id, simulation.nowMillis()));
            }
        }
        Plan plan = simulation.runRound();
        for (String id : claimingJobs) {
            boolean started = plan.startOf(id).isPresent();
            boolean preempting =
                    plan.decisions(WaitForCapacity.class).stream()
                            .anyMatch(
                                    w -> w.job().equals(id) && w.reason() == WaitReason.PREEMPTING);
            assertThat(started || preempting)
                    .as("job %s in plan %s on cluster %s", id, plan, simulation)
                    .isTrue();
        }
        simulation.running.values().removeIf(Allocation::stopping);
        simulation.runRound();
        assertThat(simulation.running.keySet()).containsAll(claimingJobs);
    }

    /** Simulates rounds and describes the first violation; returns empty if there is none. */
    private static Optional<String> findViolation(SmallClusterSimulation simulation) {
        for (int i = 0; i < ROUNDS; i++) {
            simulation.changeLoadAtRandom();
            if (simulation.random.nextInt(6) == 0) {
                simulation.takeOneZoneOut();
            }
            boolean layoutExisted = simulation.layoutExists();
            Plan plan = simulation.runRound();
            if (layoutExisted && !simulation.layoutExists()) {
                return Optional.of("no layout after round " + i + ": " + plan);
            }
            if (plan.brokenGuarantees().isEmpty() != layoutExisted) {
                return Optional.of(
                        "reported broken guarantees "
                                + plan.brokenGuarantees()
                                + " but a layout existed before the round: "
                                + layoutExisted);
            }
        }
        return Optional.empty();
    }

    /**
     * Claims every block that has enough unclaimed accelerators and does not check the layout, so
     * that it violates the invariant.
     */
    private static final class CountingPlanner implements Planner {
        @Override
        public Plan plan(PlanInput input) {
            Map<String, Integer> unclaimedByBlock = new HashMap<>();
            for (GuaranteedBlock block : GuaranteedBlock.allOf(input.customers())) {
                unclaimedByBlock.put(block.customer() + block.name(), block.accelerators());
            }
            for (Allocation gang : input.cluster().allocations()) {
                for (BlockClaim claim : gang.claims()) {
                    String key = gang.spec().customer() + claim.block();
                    unclaimedByBlock.merge(key, -claim.accelerators(), Integer::sum);
                }
            }
            Plan plan = PlacementPolicy.BEST_FIT.planner().plan(input);
            List<Decision> decisions = new ArrayList<>();
            for (StartGang start : plan.decisions(StartGang.class)) {
                decisions.add(withClaims(start, input, unclaimedByBlock));
            }
            return new Plan(decisions, null);
        }

        private StartGang withClaims(
                StartGang start, PlanInput input, Map<String, Integer> unclaimedByBlock) {
            String customer =
                    input.waiting().stream()
                            .filter(j -> j.job().equals(start.job()))
                            .findFirst()
                            .orElseThrow()
                            .spec()
                            .customer();
            List<BlockClaim> claims = new ArrayList<>();
            for (TaskPlacement task : start.members()) {
                int neededAccelerators = task.accelerators().size();
                for (GuaranteedBlock block : GuaranteedBlock.allOf(input.customers())) {
                    String key = customer + block.name();
                    boolean own = block.customer().equals(customer);
                    if (neededAccelerators > 0
                            && own
                            && unclaimedByBlock.get(key) >= neededAccelerators) {
                        unclaimedByBlock.merge(key, -neededAccelerators, Integer::sum);
                        claims.add(new BlockClaim(block.name(), task.worker(), neededAccelerators));
                        neededAccelerators = 0;
                    }
                }
            }
            return new StartGang(start.job(), start.members(), claims, start.expectedEndMillis());
        }
    }
}
