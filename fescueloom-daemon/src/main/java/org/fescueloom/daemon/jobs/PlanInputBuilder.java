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

/** Builds what one planning round depends on from the job book, the members and the settings. */
public final class PlanInputBuilder {
    /** The time for which a moved gang is not placed again, in milliseconds. */
    static final long MOVE_PAUSE_MILLIS = 5_000L;

    private final RunTimeEstimates estimates;

    /**
     * Creates a builder.
     *
     * @param estimates what was seen of run times, not null
     */
    public PlanInputBuilder(RunTimeEstimates estimates) {
        this.estimates = Objects.requireNonNull(estimates, "estimates");
    }

    /**
     * Builds the input.
     *
     * @param book the jobs, not null
     * @param workers the workers that announced themselves, not null
     * @param document the configuration in force, not null
     * @param backoffs which waiting jobs are not to be tried yet, not null
     * @param starting the gangs that are being started, by job, not null
     * @param ending the jobs whose gangs have been told to stop, not null
     * @param nowMillis the time, in milliseconds since the epoch
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
        List<WaitingJob> waiting = new ArrayList<>();
        for (Job job : fold.jobs()) {
            if (job.state().hasGang()) {
                job.currentAttempt()
                        .ifPresent(a -> allocations.add(allocation(job, a.placed(), stoppingJobs)));
            } else if (startingGangs.containsKey(job.id())) {
                allocations.add(allocation(job, startingGangs.get(job.id()), Set.of()));
            } else if (job.state() == JobState.WAITING) {
                waiting.add(waitingJob(job, backoffs.get(job.id())));
            }
        }
        ClusterView cluster = new ClusterView(views, allocations);
        return new PlanInput(nowMillis, cluster, waiting, document.customers(), estimates);
    }

    /**
     * Describes every known worker as the planner sees it now.
     *
     * @param ledger keeps what failures tell about workers, not null
     * @param workers the workers that announced themselves, not null
     * @param document the configuration, not null
     * @return the views, never null
     */
    public static List<WorkerView> workerViews(
            JobLedger ledger, List<Member> workers, ConfigurationDocument document) {
        long now = System.currentTimeMillis();
        return ledger.read(book -> workerViews(workers, document, book.failures(), now));
    }

    private static List<WorkerView> workerViews(
            List<Member> workers,
            ConfigurationDocument document,
            FailureTracker failures,
            long nowMillis) {
        return workers.stream()
                .filter(w -> w.announcement().worker() != null)
                .map(w -> workerView(w, document, failures, nowMillis))
                .toList();
    }

    /**
     * Describes a worker as the planner sees it.
     *
     * @param member the worker's announcement, not null
     * @param document the configuration in force, not null
     * @param failures what failures tell about workers, not null
     * @param nowMillis the time, in milliseconds since the epoch
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
        boolean zoneIn =
                document.zone(member.announcement().zone())
                        .filter(z -> z.state() == ZoneState.IN)
                        .isPresent();
        if (!zoneIn) {
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
        long expected =
                estimates.expectedRunMillis(
                        job.spec().customer(),
                        job.spec().serviceClass(),
                        job.declaredRemainingMillis());
        long started = placed.placedAtMillis();
        return new Allocation(
                job.id(),
                job.spec(),
                members,
                placed.claims(),
                started,
                started,
                started + expected,
                job.state() == JobState.CANCELLING || stoppingJobs.contains(job.id()));
    }

    private static WaitingJob waitingJob(Job job, StartBackoff backoff) {
        long notBefore = backoff == null ? 0L : backoff.notBeforeMillis();
        return new WaitingJob(
                job.id(),
                job.spec(),
                job.acceptedAtMillis(),
                Math.max(notBefore, endOfMovePauseMillis(job)),
                job.declaredRemainingMillis(),
                job.failedWorkers());
    }

    /** A moved gang leaves its place to the job that it was moved for. */
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
