package org.fescueloom.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.fescueloom.config.Adjacency;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.GuaranteedShape;
import org.fescueloom.job.JobSpec;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlanningRoundTest {
    private static final long NOW = 100_000_000L;
    private static final long HOUR = 3_600_000L;
    private static final List<CustomerPolicy> CUSTOMERS =
            List.of(
                    new CustomerPolicy(
                            "owner", 0, List.of(new GuaranteedShape(1, 4, Adjacency.WORKER))),
                    new CustomerPolicy("guest", 0, null));

    private static List<WorkerView> workers(int count, WorkerCondition condition) {
        return IntStream.range(0, count)
                .mapToObj(i -> new WorkerView("w" + i, "z", "r", i, 4, 16, 1_000, condition))
                .toList();
    }

    private static JobSpec spec(
            String customer, int tasks, int accelerators, long seconds, boolean urgent) {
        return new JobSpec(
                customer,
                "k",
                tasks,
                accelerators,
                Adjacency.WORKER,
                1,
                1,
                seconds,
                true,
                urgent,
                "run");
    }

    private static WaitingJob job(String id, JobSpec spec, long waitedMillis) {
        return new WaitingJob(id, spec, NOW - waitedMillis, 0, spec.runSeconds() * 1_000, null);
    }

    /** Returns a gang with one task that started an hour ago and has no claims. */
    private static Allocation gang(
            String id, JobSpec spec, String worker, List<Integer> indexes, long endsInMillis) {
        List<TaskPlacement> members = List.of(new TaskPlacement(0, worker, indexes));
        long started = NOW - HOUR;
        return new Allocation(id, spec, members, null, started, started, NOW + endsInMillis, false);
    }

    private static Plan plan(
            List<WorkerView> workers, List<Allocation> running, WaitingJob... jobs) {
        ClusterView cluster = new ClusterView(workers, running);
        return PlacementPolicy.BUDDY_COMPACTION
                .planner()
                .plan(new PlanInput(NOW, cluster, List.of(jobs), CUSTOMERS, null));
    }

    private static WaitReason reason(Plan plan, String job) {
        return plan.decisions(WaitForCapacity.class).stream()
                .filter(w -> w.job().equals(job))
                .findFirst()
                .orElseThrow()
                .reason();
    }

    @Nested
    class Preemption {
        @Test
        void guaranteeClaimPreemptsTheBorrowerAndWaitsUntilItHasStopped() {
            JobSpec whole = spec("guest", 1, 4, 3_600, false);
            Allocation borrower = gang("b", whole, "w0", List.of(0, 1, 2, 3), HOUR);
            WaitingJob claim = job("c", spec("owner", 1, 4, 60, false), 0);
            Plan plan = plan(workers(1, WorkerCondition.USABLE), List.of(borrower), claim);
            assertThat(plan.decisions(PreemptGang.class))
                    .containsExactly(new PreemptGang("b", PreemptReason.GUARANTEE_CLAIMED, "c"));
            assertThat(reason(plan, "c")).isEqualTo(WaitReason.PREEMPTING);
        }

        @Test
        void urgentJobPreemptsOnlyANonUrgentGangOfItsOwnCustomer() {
            JobSpec whole = spec("guest", 1, 4, 3_600, false);
            Allocation ownGang = gang("b", whole, "w0", List.of(0, 1, 2, 3), HOUR);
            JobSpec other = spec("other", 1, 4, 3_600, false);
            Allocation gangOfOther = gang("f", other, "w1", List.of(0, 1, 2, 3), HOUR);
            WaitingJob urgent = job("u", spec("guest", 1, 4, 3_600, true), 0);
            Plan plan =
                    plan(workers(2, WorkerCondition.USABLE), List.of(gangOfOther, ownGang), urgent);
            assertThat(plan.decisions(PreemptGang.class))
                    .containsExactly(new PreemptGang("b", PreemptReason.URGENT_WORK, "u"));
        }
    }

    @Nested
    class Reservations {
        private final Allocation running =
                gang("r", spec("guest", 1, 2, 600, true), "w0", List.of(0, 1), 600_000L);
        private final WaitingJob large = job("l", spec("guest", 1, 4, 9_000, false), HOUR);

        @Test
        void jobThatEndsBeforeTheReservationBeginsIsBackfilled() {
            WaitingJob small = job("s", spec("guest", 1, 2, 300, false), 0);
            Plan plan = plan(workers(1, WorkerCondition.USABLE), List.of(running), large, small);
            assertThat(plan.startOf("s")).isPresent();
            assertThat(plan.decisions(ReserveGang.class).get(0).expectedStartMillis())
                    .isEqualTo(NOW + 600_000L);
        }

        @Test
        void jobThatEndsAfterTheReservationBeginsWaits() {
            WaitingJob late = job("s", spec("guest", 1, 2, 900, false), 0);
            Plan plan = plan(workers(1, WorkerCondition.USABLE), List.of(running), large, late);
            assertThat(reason(plan, "s")).isEqualTo(WaitReason.RESERVED_FOR_OTHER);
        }
    }

    @Test
    void gangIsMovedWhenTheSavedWaitOutweighsTheCost() {
        JobSpec half = spec("guest", 1, 2, 3_600, false);
        List<Allocation> running =
                List.of(
                        gang("a", half, "w0", List.of(0, 1), 5 * HOUR),
                        gang("b", half, "w1", List.of(0, 1), 5 * HOUR));
        WaitingJob large = job("l", spec("guest", 1, 4, 36_000, false), HOUR);
        Plan plan = plan(workers(2, WorkerCondition.USABLE), running, large);
        assertThat(plan.decisions(MoveGang.class)).hasSize(1);
        assertThat(reason(plan, "l")).isEqualTo(WaitReason.PREEMPTING);
    }

    @Test
    void guaranteeWithoutUsableWorkersIsReportedAsBroken() {
        Plan plan = plan(workers(1, WorkerCondition.ZONE_OUT), List.of());
        assertThat(plan.brokenGuarantees())
                .containsExactly(
                        new BrokenGuarantee(
                                "owner", new GuaranteedShape(1, 4, Adjacency.WORKER), 1));
    }

    @Test
    void workerOnProbationGetsOnlyOneSmallJob() {
        WaitingJob one = job("a", spec("guest", 1, 1, 60, false), 1);
        WaitingJob two = job("b", spec("guest", 1, 1, 60, false), 0);
        Plan plan = plan(workers(1, WorkerCondition.ON_PROBATION), List.of(), one, two);
        assertThat(plan.decisions(StartGang.class)).extracting(StartGang::job).containsExactly("a");
    }

    @Test
    void checkerReportsTheShapeThatCannotBeLaidOut() {
        GuaranteedShape shape = new GuaranteedShape(2, 3, Adjacency.WORKER);
        List<CustomerPolicy> customers = List.of(new CustomerPolicy("c", 0, List.of(shape)));
        List<WorkerView> workers = workers(1, WorkerCondition.ZONE_OUT);
        assertThat(GuaranteeChecker.check(customers, workers))
                .extracting(BrokenGuarantee::customer, BrokenGuarantee::missingBlocks)
                .containsExactly(org.assertj.core.groups.Tuple.tuple("c", 1));
        assertThat(GuaranteeChecker.check(customers, workers(2, WorkerCondition.ZONE_OUT)))
                .isEmpty();
    }
}
