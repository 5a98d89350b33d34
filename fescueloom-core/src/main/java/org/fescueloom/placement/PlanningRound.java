package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.fescueloom.job.JobSpec;

/** Carries out one planning round. */
final class PlanningRound {
    private static final Comparator<WaitingJob> ARRIVAL =
            Comparator.comparing((WaitingJob job) -> !job.spec().urgent())
                    .thenComparingLong(WaitingJob::acceptedAtMillis)
                    .thenComparing(WaitingJob::job);

    private final PlanInput input;
    private final JobFeasibility feasibility;
    private final GangFitter fitter;
    private final FreeCapacity free;
    private final List<Decision> decisions = new ArrayList<>();

    /**
     * Prepares a round.
     *
     * @param policy the policy, not null
     * @param input everything that the plan depends on, not null
     */
    PlanningRound(PlacementPolicy policy, PlanInput input) {
        this.input = input;
        Topology topology = new Topology(input.cluster().workers());
        feasibility = new JobFeasibility(input.cluster().workers());
        fitter = new GangFitter(topology, policy.order());
        free = FreeCapacity.whole(topology);
        input.cluster().allocations().forEach(a -> free.take(a.spec(), a.members()));
    }

    /**
     * Plans the round.
     *
     * @return the plan, never null
     */
    Plan run() {
        input.waiting().stream().sorted(ARRIVAL).forEach(this::decide);
        return new Plan(decisions, List.of());
    }

    private void decide(WaitingJob job) {
        if (!feasibility.isFeasible(job.spec())) {
            String largest = feasibility.largestShape(job.spec()).orElse("none");
            decisions.add(new RejectJob(job.job(), largest));
            return;
        }
        if (job.notBeforeMillis() > input.nowMillis()) {
            wait(job, WaitReason.BACKOFF, job.notBeforeMillis());
            return;
        }
        Optional<List<TaskPlacement>> members = fitter.fit(free, job.spec(), job.avoidedWorkers());
        if (members.isPresent()) {
            start(job, members.get());
        } else {
            wait(job, WaitReason.NO_CAPACITY, 0L);
        }
    }

    private void start(WaitingJob job, List<TaskPlacement> members) {
        JobSpec spec = job.spec();
        free.take(spec, members);
        long expected =
                input.runTimes()
                        .expectedMillis(
                                spec.customer(), spec.serviceClass(), job.remainingMillis());
        decisions.add(new StartGang(job.job(), members, List.of(), input.nowMillis() + expected));
    }

    private void wait(WaitingJob job, WaitReason reason, long expectedStartMillis) {
        String shape = JobFeasibility.describe(job.spec());
        decisions.add(
                new WaitForCapacity(job.job(), reason, shape, List.of(), expectedStartMillis));
    }
}
