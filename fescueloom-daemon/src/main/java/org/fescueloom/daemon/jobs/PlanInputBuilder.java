package org.fescueloom.daemon.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ZoneState;
import org.fescueloom.job.FailureTracker;
import org.fescueloom.job.GangAttempt;
import org.fescueloom.job.GangEnded;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.GangResult;
import org.fescueloom.job.Job;
import org.fescueloom.job.JobState;
import org.fescueloom.job.JobsFold;
import org.fescueloom.member.Member;
import org.fescueloom.member.MemberState;
import org.fescueloom.placement.Allocation;
import org.fescueloom.placement.ClusterView;
import org.fescueloom.placement.PlanInput;
import org.fescueloom.placement.RunTimeEstimates;
import org.fescueloom.placement.TaskPlacement;
import org.fescueloom.placement.WaitingJob;
import org.fescueloom.placement.WorkerCondition;
import org.fescueloom.placement.WorkerView;
import org.fescueloom.wire.WorkerCapacity;

/** Builds the input of a planning round from the jobs, the workers and the configuration. */
public final class PlanInputBuilder {
    /**
     * The time after the end of a moved gang during which its job is not placed again, in
     * milliseconds.
     */
    static final long MOVE_PAUSE_MILLIS = 5_000L;

    private final RunTimeEstimates estimates;

    /**
     * Creates a builder.
     *
     * @param estimates the estimates of run times, not null
     */
    public PlanInputBuilder(RunTimeEstimates estimates) {
        this.estimates = Objects.requireNonNull(estimates, "estimates");
    }

    /**
     * Builds the input of a planning round.
     *
     * @param fold the jobs, not null
     * @param workers the workers that have announced themselves, not null
     * @param document the configuration in force, not null
     * @param backoffs the backoffs of the jobs whose last start failed, by the identifier of the
     *     job, not null
     * @param startingGangs the gangs that are being started, by the identifier of the job, not null
     * @param stoppingJobs the identifiers of the jobs whose gangs are being stopped, not null
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the input, never null
     */
    public PlanInput build(
            JobsFold fold,
            List<Member> workers,
            ConfigurationDocument document,
            Map<String, StartBackoff> backoffs,
            Map<String, GangPlaced> startingGangs,
            Set<String> stoppingJobs,
            long nowMillis) {
        List<WorkerView> views = workerViews(workers, document, fold.failures(), nowMillis);
        List<Allocation> allocations = new ArrayList<>();
        List<WaitingJob> waitingJobs = new ArrayList<>();
        for (Job job : fold.jobs()) {
            if (job.state().hasGang()) {
                job.currentAttempt()
                        .ifPresent(
                                attempt ->
                                        allocations.add(
                                                allocation(job, attempt.placed(), stoppingJobs)));
            } else if (startingGangs.containsKey(job.id())) {
                // The placement of a gang that is being started may not be in the fold yet.
                allocations.add(allocation(job, startingGangs.get(job.id()), Set.of()));
            } else if (job.state() == JobState.WAITING) {
                waitingJobs.add(waitingJob(job, backoffs.get(job.id())));
            }
        }
        ClusterView cluster = new ClusterView(views, allocations);
        return new PlanInput(nowMillis, cluster, waitingJobs, document.customers(), estimates);
    }

    /**
     * Creates the planner's view of every known worker at the current time.
     *
     * @param ledger holds the failures of tasks by worker, not null
     * @param workers the workers that have announced themselves, not null
     * @param document the configuration, not null
     * @return the views of the workers whose announcements contain a capacity, never null
     */
    public static List<WorkerView> workerViews(
            JobLedger ledger, List<Member> workers, ConfigurationDocument document) {
        long now = System.currentTimeMillis();
        return ledger.read(fold -> workerViews(workers, document, fold.failures(), now));
    }

    private static List<WorkerView> workerViews(
            List<Member> workers,
            ConfigurationDocument document,
            FailureTracker failures,
            long nowMillis) {
        return workers.stream()
                .filter(worker -> worker.announcement().worker() != null)
                .map(worker -> workerView(worker, document, failures, nowMillis))
                .toList();
    }

    /**
     * Creates the planner's view of a worker.
     *
     * @param member the worker, whose announcement contains a capacity, not null
     * @param document the configuration in force, not null
     * @param failures the failures of tasks by worker, not null
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the view, never null
     */
    public static WorkerView workerView(
            Member member,
            ConfigurationDocument document,
            FailureTracker failures,
            long nowMillis) {
        WorkerCapacity capacity = member.announcement().worker();
        return new WorkerView(
                member.id(),
                member.announcement().zone(),
                capacity.rack(),
                capacity.position(),
                capacity.accelerators(),
                capacity.cpus(),
                capacity.memoryMb(),
                workerCondition(member, document, failures, nowMillis));
    }

    private static WorkerCondition workerCondition(
            Member member,
            ConfigurationDocument document,
            FailureTracker failures,
            long nowMillis) {
        boolean zoneInService =
                document.zone(member.announcement().zone())
                        .filter(zone -> zone.state() == ZoneState.IN)
                        .isPresent();
        if (!zoneInService) {
            return WorkerCondition.ZONE_OUT;
        }
        if (member.state() != MemberState.ALIVE) {
            return WorkerCondition.UNREACHABLE;
        }
        return switch (failures.health(member.id()).standing(nowMillis)) {
            case TRUSTED -> WorkerCondition.USABLE;
            case ON_PROBATION -> WorkerCondition.ON_PROBATION;
            case SET_ASIDE -> WorkerCondition.SET_ASIDE;
        };
    }

    private Allocation allocation(Job job, GangPlaced placed, Set<String> stoppingJobs) {
        List<TaskPlacement> members = new ArrayList<>();
        for (GangMember member : placed.members()) {
            int task = Integer.parseInt(member.task());
            members.add(new TaskPlacement(task, member.worker(), member.accelerators()));
        }
        long expectedRunMillis =
                estimates.expectedRunMillis(
                        job.spec().customer(),
                        job.spec().serviceClass(),
                        job.declaredRemainingMillis());
        // No checkpoint time is known, so the start stands for the last checkpoint.
        long startedAtMillis = placed.placedAtMillis();
        return new Allocation(
                job.id(),
                job.spec(),
                members,
                placed.claims(),
                startedAtMillis,
                startedAtMillis,
                startedAtMillis + expectedRunMillis,
                job.state() == JobState.CANCELLING || stoppingJobs.contains(job.id()));
    }

    private static WaitingJob waitingJob(Job job, StartBackoff backoff) {
        long backoffEndMillis = backoff == null ? 0L : backoff.notBeforeMillis();
        return new WaitingJob(
                job.id(),
                job.spec(),
                job.acceptedAtMillis(),
                Math.max(backoffEndMillis, endOfMovePauseMillis(job)),
                job.declaredRemainingMillis(),
                job.failedWorkers());
    }

    /**
     * Returns the end of the pause after a move, in milliseconds since the epoch; 0 if the last
     * gang attempt of the job did not end by a move. During the pause the job for which the gang
     * was moved can take the capacity that the gang held.
     */
    private static long endOfMovePauseMillis(Job job) {
        List<GangAttempt> attempts = job.attempts();
        if (attempts.isEmpty()) {
            return 0L;
        }
        GangEnded end = attempts.get(attempts.size() - 1).ended();
        boolean moved = end != null && end.result() == GangResult.MOVED;
        return moved ? end.endedAtMillis() + MOVE_PAUSE_MILLIS : 0L;
    }
}
