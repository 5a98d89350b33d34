package org.fescueloom.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fescueloom.config.Adjacency;
import org.fescueloom.job.JobSpec;
import org.junit.jupiter.api.Test;

class FirstFitTest {
    private static final Planner PLANNER = PlacementPolicy.FIRST_FIT.planner();

    private static WaitingJob job(String id, int tasks, int accelerators, Adjacency adjacency) {
        JobSpec spec =
                new JobSpec("c", "k", tasks, accelerators, adjacency, 1, 1, 60, true, false, "run");
        return new WaitingJob(id, spec, 0, 0, 60_000, null);
    }

    private static WorkerView worker(String name, String rack, WorkerCondition condition) {
        return new WorkerView(name, "z-" + rack, rack, 0, 4, 8, 100, condition);
    }

    private static Plan plan(List<WorkerView> workers, WaitingJob... jobs) {
        return PLANNER.plan(
                new PlanInput(0, new ClusterView(workers, null), List.of(jobs), null, null));
    }

    @Test
    void startsJobsThatFitAndGivesADecisionForEachOther() {
        List<WorkerView> workers =
                List.of(
                        worker("w0", "r0", WorkerCondition.ZONE_OUT),
                        worker("w1", "r1", WorkerCondition.USABLE),
                        worker("w2", "r1", WorkerCondition.USABLE));
        Plan plan =
                plan(
                        workers,
                        job("gang", 3, 2, Adjacency.RACK),
                        job("small", 1, 2, Adjacency.WORKER),
                        job("surplus", 1, 1, Adjacency.NONE),
                        job("never", 1, 5, Adjacency.NONE));
        assertThat(plan.startOf("gang").orElseThrow().members())
                .extracting(TaskPlacement::worker)
                .containsExactly("w1", "w1", "w2");
        assertThat(plan.startOf("small").orElseThrow().members())
                .containsExactly(new TaskPlacement(0, "w2", List.of(2, 3)));
        assertThat(plan.decisions(WaitForCapacity.class))
                .extracting(WaitForCapacity::job)
                .containsExactly("surplus");
        assertThat(plan.decisions(RejectJob.class).get(0).largestShape())
                .startsWith("1 tasks of 4 accelerators");
    }
}
