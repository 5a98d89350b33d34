package org.fescueloom.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Simulates all policies on the same seeded workloads and prints one table row for each policy.
 * Fails if a job has not ended by the end of a simulation.
 */
@Tag("benchmark")
class PolicyComparisonTest {
    private static final int SMALL_CLUSTER_SEEDS = 5;

    /** The number of accelerators from which a job of a small cluster counts as large. */
    private static final int SMALL_CLUSTER_MIN_LARGE_JOB = 16;

    /**
     * The number of accelerators from which a job of the cluster of design size counts as large.
     */
    private static final int DESIGN_SIZE_MIN_LARGE_JOB = 32;

    @Test
    void weaveplan() {
        compare(
                "weaveplan",
                Workloads::weaveplan,
                SMALL_CLUSTER_SEEDS,
                SMALL_CLUSTER_MIN_LARGE_JOB);
    }

    @Test
    void iroMatch() {
        compare("iro-match", Workloads::iroMatch, SMALL_CLUSTER_SEEDS, SMALL_CLUSTER_MIN_LARGE_JOB);
    }

    @Test
    void designSize() {
        compare("design-size", Workloads::designSize, 1, DESIGN_SIZE_MIN_LARGE_JOB);
    }

    private static void compare(
            String name, LongFunction<Workload> workloads, int seeds, int minLargeJobAccelerators) {
        for (PlacementPolicy policy : PlacementPolicy.values()) {
            List<SimulationResult> results = new ArrayList<>();
            for (int seed = 1; seed <= seeds; seed++) {
                Workload workload = workloads.apply(seed);
                results.add(
                        new WorkloadSimulation(workload, policy.planner(), minLargeJobAccelerators)
                                .run());
            }
            assertThat(results).allMatch(r -> r.unfinished() == 0);
            System.out.printf(
                    "| %s | %s | %.0f | %.0f | %.3f | %.0f | %.0f | %.3f | %.0f | %.0f |%n",
                    name,
                    policy,
                    mean(results, SimulationResult::meanCompletionSeconds),
                    mean(results, SimulationResult::p99CompletionSeconds),
                    mean(results, SimulationResult::fragmentation),
                    mean(results, SimulationResult::meanLargeJobWaitSeconds),
                    results.stream()
                            .mapToDouble(SimulationResult::longestLargeJobWaitSeconds)
                            .max()
                            .orElse(0),
                    mean(results, SimulationResult::utilization),
                    mean(results, SimulationResult::preempted),
                    mean(results, SimulationResult::moved));
        }
    }

    private static double mean(
            List<SimulationResult> results, ToDoubleFunction<SimulationResult> figure) {
        return results.stream().mapToDouble(figure).average().orElse(0);
    }
}
