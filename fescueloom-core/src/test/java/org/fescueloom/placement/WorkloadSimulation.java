package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.job.FailureTracker;
import org.fescueloom.job.WorkerStanding;

/**
 * Simulates a workload under a planner, round by round, and measures waiting times, fragmentation
 * and utilization.
 */
final class WorkloadSimulation {
    private static final long ROUND_MILLIS = 30_000L;

    /** The longest run time of an attempt that fails. */
    private static final long FAILING_RUN_MILLIS = 120_000L;

    /** The run time before a checkpoint that a job repeats when it resumes. */
    private static final long RESUME_LOSS_MILLIS = 30_000L;

    /** The interval of the checkpoints from which jobs of a lost zone resume. */
    private static final long CHECKPOINT_INTERVAL_MILLIS = 600_000L;

    /** The time that the job of a moved gang waits until it may start again. */
    private static final long MOVE_BACKOFF_MILLIS = 5_000L;

    /** The time that a job waits after a failure until it may start again. */
    private static final long FAILURE_BACKOFF_MILLIS = 60_000L;

    /** The longest simulated time after the last arrival. */
    private static final long MAX_MILLIS_AFTER_LAST_ARRIVAL = 60L * 24 * 3_600_000;

    private final Workload workload;
    private final Planner planner;
    private final int minLargeJobAccelerators;
    private final RunTimeEstimates estimates = new RunTimeEstimates();
    private final FailureTracker failureTracker = new FailureTracker();
    private final Map<String, JobProgress> waiting = new LinkedHashMap<>();
    private final Map<String, RunningAttempt> running = new LinkedHashMap<>();
    private final List<Long> completionMillis = new ArrayList<>();
    private final List<Long> largeJobWaitMillis = new ArrayList<>();
    private long nowMillis;
    private int nextArrival;
    private int failed;
    private int rejected;
    private int preempted;
    private int moved;
    private double fragmentationSum;
    private int fragmentationRounds;
    private double acceleratorsInUseSum;
    private double acceleratorsInServiceSum;

    private static final class JobProgress {
        private final SubmittedJob job;
        private final Set<String> avoidedWorkers = new HashSet<>();
        private long doneMillis;
        private long notBeforeMillis;
        private boolean started;

        JobProgress(SubmittedJob job) {
            this.job = job;
        }
    }

    private record RunningAttempt(
            JobProgress progress,
            StartGang start,
            long startMillis,
            long endMillis,
            boolean fails) {}

    WorkloadSimulation(Workload workload, Planner planner, int minLargeJobAccelerators) {
        this.workload = workload;
        this.planner = planner;
        this.minLargeJobAccelerators = minLargeJobAccelerators;
    }

    SimulationResult run() {
        long lastArrival = workload.jobs().get(workload.jobs().size() - 1).arrivalMillis();
        boolean active = true;
        while (active) {
            nowMillis += ROUND_MILLIS;
            endGangs();
            stopGangsInLostZone();
            addArrivedJobs();
            plan();
            if (nowMillis <= lastArrival) {
                measure();
            }
            boolean jobsLeft =
                    nextArrival < workload.jobs().size()
                            || !running.isEmpty()
                            || !waiting.isEmpty();
            active = jobsLeft && nowMillis < lastArrival + MAX_MILLIS_AFTER_LAST_ARRIVAL;
        }
        return new SimulationResult(
                completionMillis,
                largeJobWaitMillis,
                fragmentationSum / Math.max(1, fragmentationRounds),
                acceleratorsInUseSum / Math.max(1, acceleratorsInServiceSum),
                waiting.size() + running.size(),
                failed,
                rejected,
                preempted,
                moved);
    }

    private void addArrivedJobs() {
        while (nextArrival < workload.jobs().size()
                && workload.jobs().get(nextArrival).arrivalMillis() <= nowMillis) {
            SubmittedJob job = workload.jobs().get(nextArrival++);
            waiting.put(job.id(), new JobProgress(job));
        }
    }

    private void endGangs() {
        for (RunningAttempt attempt : List.copyOf(running.values())) {
            if (attempt.endMillis() <= nowMillis) {
                running.remove(attempt.start().job());
                if (attempt.fails()) {
                    fail(attempt);
                } else {
                    succeed(attempt);
                }
            }
        }
    }

    private void succeed(RunningAttempt attempt) {
        SubmittedJob job = attempt.progress().job;
        failureTracker.recordSuccess(job.id(), workers(attempt));
        estimates.recordRun(
                job.spec().customer(),
                job.spec().serviceClass(),
                job.spec().runSeconds() * 1_000,
                job.runMillis());
        completionMillis.add(attempt.endMillis() - job.arrivalMillis());
    }

    private void fail(RunningAttempt attempt) {
        JobProgress progress = attempt.progress();
        List<String> failedWorkers = new ArrayList<>(workers(attempt));
        if (!progress.job.faulty()) {
            failedWorkers.retainAll(workload.badWorkers());
        }
        // The tracker returns true if the job itself is at fault and ends.
        if (failureTracker.recordFailure(progress.job.id(), failedWorkers, nowMillis)) {
            failed++;
            return;
        }
        progress.avoidedWorkers.addAll(failedWorkers);
        progress.notBeforeMillis = nowMillis + FAILURE_BACKOFF_MILLIS;
        waiting.put(progress.job.id(), progress);
    }

    private static Set<String> workers(RunningAttempt attempt) {
        Set<String> workers = new HashSet<>();
        attempt.start().members().forEach(m -> workers.add(m.worker()));
        return workers;
    }

    private boolean zoneIsOut() {
        return nowMillis >= workload.outFromMillis() && nowMillis < workload.outUntilMillis();
    }

    private void stopGangsInLostZone() {
        if (!zoneIsOut()) {
            return;
        }
        Set<String> lostWorkers = new HashSet<>();
        workload.workers().stream()
                .filter(w -> w.zone().equals(workload.zoneOut()))
                .forEach(w -> lostWorkers.add(w.worker()));
        for (RunningAttempt attempt : List.copyOf(running.values())) {
            if (workers(attempt).stream().anyMatch(lostWorkers::contains)) {
                long ranMillis = nowMillis - attempt.startMillis();
                stop(
                        attempt,
                        ranMillis / CHECKPOINT_INTERVAL_MILLIS * CHECKPOINT_INTERVAL_MILLIS,
                        0);
            }
        }
    }

    private void stop(RunningAttempt attempt, long checkpointedMillis, long backoffMillis) {
        JobProgress progress = attempt.progress();
        running.remove(progress.job.id());
        if (progress.job.spec().checkpointable()) {
            long keptMillis = Math.max(0, checkpointedMillis - RESUME_LOSS_MILLIS);
            progress.doneMillis =
                    Math.min(progress.job.runMillis(), progress.doneMillis + keptMillis);
        }
        progress.notBeforeMillis = nowMillis + backoffMillis;
        waiting.put(progress.job.id(), progress);
    }

    private void plan() {
        List<WaitingJob> jobs = new ArrayList<>();
        waiting.values().forEach(p -> jobs.add(waitingJob(p)));
        List<Allocation> allocations = new ArrayList<>();
        running.values().forEach(g -> allocations.add(allocation(g)));
        ClusterView cluster = new ClusterView(views(), allocations);
        Plan plan =
                planner.plan(
                        new PlanInput(nowMillis, cluster, jobs, workload.customers(), estimates));
        for (PreemptGang preempt : plan.decisions(PreemptGang.class)) {
            preempted++;
            RunningAttempt attempt = running.get(preempt.job());
            stop(attempt, nowMillis - attempt.startMillis(), 0);
        }
        for (MoveGang move : plan.decisions(MoveGang.class)) {
            moved++;
            RunningAttempt attempt = running.get(move.job());
            // The job of a moved gang may start again after the backoff, counted from the next
            // round.
            stop(attempt, nowMillis - attempt.startMillis(), MOVE_BACKOFF_MILLIS + ROUND_MILLIS);
        }
        for (RejectJob reject : plan.decisions(RejectJob.class)) {
            rejected++;
            waiting.remove(reject.job());
        }
        plan.decisions(StartGang.class).forEach(this::start);
    }

    private WaitingJob waitingJob(JobProgress progress) {
        long declaredMillis = progress.job.spec().runSeconds() * 1_000;
        return new WaitingJob(
                progress.job.id(),
                progress.job.spec(),
                progress.job.arrivalMillis(),
                progress.notBeforeMillis,
                Math.max(1, declaredMillis - progress.doneMillis),
                progress.avoidedWorkers);
    }

    private Allocation allocation(RunningAttempt attempt) {
        return new Allocation(
                attempt.start().job(),
                attempt.progress().job.spec(),
                attempt.start().members(),
                attempt.start().claims(),
                attempt.startMillis(),
                attempt.startMillis(),
                attempt.start().expectedEndMillis(),
                false);
    }

    private List<WorkerView> views() {
        return workload.workers().stream().map(w -> w.withCondition(condition(w))).toList();
    }

    private WorkerCondition condition(WorkerView worker) {
        if (zoneIsOut() && worker.zone().equals(workload.zoneOut())) {
            return WorkerCondition.ZONE_OUT;
        }
        WorkerStanding standing = failureTracker.health(worker.worker()).standing(nowMillis);
        return switch (standing) {
            case TRUSTED -> WorkerCondition.USABLE;
            case ON_PROBATION -> WorkerCondition.ON_PROBATION;
            case SET_ASIDE -> WorkerCondition.SET_ASIDE;
        };
    }

    private void start(StartGang start) {
        JobProgress progress = waiting.remove(start.job());
        SubmittedJob job = progress.job;
        if (!progress.started && job.accelerators() >= minLargeJobAccelerators) {
            largeJobWaitMillis.add(nowMillis - job.arrivalMillis());
        }
        progress.started = true;
        boolean fails =
                job.faulty()
                        || start.members().stream()
                                .anyMatch(m -> workload.badWorkers().contains(m.worker()));
        long remainingMillis = job.runMillis() - progress.doneMillis;
        long endMillis =
                nowMillis
                        + (fails ? Math.min(remainingMillis, FAILING_RUN_MILLIS) : remainingMillis);
        running.put(start.job(), new RunningAttempt(progress, start, nowMillis, endMillis, fails));
    }

    /** Adds the utilization and the fragmentation of the current round to the sums. */
    private void measure() {
        Topology topology = new Topology(views());
        FreeCapacity free = FreeCapacity.allFree(topology);
        int acceleratorsInService = 0;
        for (int i = 0; i < topology.size(); i++) {
            boolean acceptsTasks = topology.worker(i).condition().acceptsTasks();
            acceleratorsInService += acceptsTasks ? topology.worker(i).accelerators() : 0;
        }
        int acceleratorsInUse = 0;
        for (RunningAttempt attempt : running.values()) {
            free.allocate(attempt.progress().job.spec(), attempt.start().members());
            acceleratorsInUse += attempt.progress().job.accelerators();
        }
        acceleratorsInUseSum += acceleratorsInUse;
        acceleratorsInServiceSum += acceleratorsInService;
        SubmittedJob largestJob = largestWaiting(topology);
        if (largestJob != null && acceleratorsInService > acceleratorsInUse) {
            int usableAccelerators = usableAccelerators(topology, free, largestJob);
            // The share of the free accelerators that the largest waiting job cannot use.
            fragmentationSum +=
                    1
                            - Math.min(
                                    1.0,
                                    (double) usableAccelerators
                                            / (acceleratorsInService - acceleratorsInUse));
            fragmentationRounds++;
        }
    }

    /**
     * Returns the waiting job with the most accelerators among the jobs that the workers could hold
     * if nothing else ran; null if there is none.
     */
    private SubmittedJob largestWaiting(Topology topology) {
        GangFitter fitter = new GangFitter(topology, WorkerOrder.LISTED);
        FreeCapacity totalCapacity = FreeCapacity.allFree(topology);
        SubmittedJob largestJob = null;
        for (JobProgress progress : waiting.values()) {
            SubmittedJob job = progress.job;
            boolean larger = largestJob == null || job.accelerators() > largestJob.accelerators();
            if (larger
                    && job.accelerators() > 0
                    && fitter.fit(totalCapacity, job.spec(), Set.of()).isPresent()) {
                largestJob = job;
            }
        }
        return largestJob;
    }

    /**
     * Returns the number of free accelerators that a job could use in the topology domain that can
     * hold the most tasks of the job.
     */
    private static int usableAccelerators(Topology topology, FreeCapacity free, SubmittedJob job) {
        Map<String, Integer> noAvoidedWorkers = new HashMap<>();
        int mostTasks = 0;
        GangFitter fitter = new GangFitter(topology, WorkerOrder.LISTED);
        for (TopologyDomain domain : topology.domains(job.spec().adjacency())) {
            int tasks = 0;
            for (int workerIndex : domain.workers()) {
                tasks +=
                        fitter.tasksThatFit(
                                free, job.spec(), noAvoidedWorkers.keySet(), workerIndex);
            }
            mostTasks = Math.max(mostTasks, tasks);
        }
        return mostTasks * job.spec().acceleratorsPerTask();
    }
}
