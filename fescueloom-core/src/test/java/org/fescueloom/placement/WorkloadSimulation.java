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
    private static final long FAIL_AFTER_MILLIS = 120_000L;
    private static final long RESTART_LOSS_MILLIS = 30_000L;
    private static final long CHECKPOINT_EVERY_MILLIS = 600_000L;
    private static final long MOVE_BACKOFF_MILLIS = 5_000L;
    private static final long FAILURE_BACKOFF_MILLIS = 60_000L;
    private static final long MAX_DRAIN_MILLIS = 60L * 24 * 3_600_000;

    private final Workload workload;
    private final Planner planner;
    private final int largeAccelerators;
    private final RunTimeEstimates estimates = new RunTimeEstimates();
    private final FailureTracker failureTracker = new FailureTracker();
    private final Map<String, JobProgress> waiting = new LinkedHashMap<>();
    private final Map<String, RunningAttempt> running = new LinkedHashMap<>();
    private final List<Long> completions = new ArrayList<>();
    private final List<Long> largeWaits = new ArrayList<>();
    private long nowMillis;
    private int nextArrival;
    private int failed;
    private int rejected;
    private int preempted;
    private int moved;
    private double fragmentationSum;
    private int fragmentationRounds;
    private double usedAcceleratorsSum;
    private double acceleratorsInServiceSum;

    private static final class JobProgress {
        private final SubmittedJob job;
        private final Set<String> avoided = new HashSet<>();
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

    WorkloadSimulation(Workload workload, Planner planner, int largeAccelerators) {
        this.workload = workload;
        this.planner = planner;
        this.largeAccelerators = largeAccelerators;
    }

    SimulationResult run() {
        long lastArrival = workload.jobs().get(workload.jobs().size() - 1).arrivalMillis();
        boolean active = true;
        while (active) {
            nowMillis += ROUND_MILLIS;
            endGangs();
            stopGangsInZoneOut();
            addArrivedJobs();
            plan();
            if (nowMillis <= lastArrival) {
                measure();
            }
            boolean jobsLeft =
                    nextArrival < workload.jobs().size()
                            || !running.isEmpty()
                            || !waiting.isEmpty();
            active = jobsLeft && nowMillis < lastArrival + MAX_DRAIN_MILLIS;
        }
        return new SimulationResult(
                completions,
                largeWaits,
                fragmentationSum / Math.max(1, fragmentationRounds),
                usedAcceleratorsSum / Math.max(1, acceleratorsInServiceSum),
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
        completions.add(attempt.endMillis() - job.arrivalMillis());
    }

    private void fail(RunningAttempt attempt) {
        JobProgress progress = attempt.progress();
        List<String> atFault = new ArrayList<>(workers(attempt));
        if (!progress.job.faulty()) {
            atFault.retainAll(workload.badWorkers());
        }
        if (failureTracker.recordFailure(progress.job.id(), atFault, nowMillis)) {
            failed++;
            return;
        }
        progress.avoided.addAll(atFault);
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

    private void stopGangsInZoneOut() {
        if (!zoneIsOut()) {
            return;
        }
        Set<String> workersOut = new HashSet<>();
        workload.workers().stream()
                .filter(w -> w.zone().equals(workload.zoneOut()))
                .forEach(w -> workersOut.add(w.worker()));
        for (RunningAttempt gang : List.copyOf(running.values())) {
            if (workers(gang).stream().anyMatch(workersOut::contains)) {
                long ran = nowMillis - gang.startMillis();
                stop(gang, ran / CHECKPOINT_EVERY_MILLIS * CHECKPOINT_EVERY_MILLIS, 0);
            }
        }
    }

    private void stop(RunningAttempt attempt, long checkpointedMillis, long backoffMillis) {
        JobProgress progress = attempt.progress();
        running.remove(progress.job.id());
        if (progress.job.spec().checkpointable()) {
            long keptMillis = Math.max(0, checkpointedMillis - RESTART_LOSS_MILLIS);
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
            RunningAttempt gang = running.get(preempt.job());
            stop(gang, nowMillis - gang.startMillis(), 0);
        }
        for (MoveGang move : plan.decisions(MoveGang.class)) {
            moved++;
            RunningAttempt gang = running.get(move.job());
            stop(gang, nowMillis - gang.startMillis(), MOVE_BACKOFF_MILLIS + ROUND_MILLIS);
        }
        for (RejectJob reject : plan.decisions(RejectJob.class)) {
            rejected++;
            waiting.remove(reject.job());
        }
        plan.decisions(StartGang.class).forEach(this::start);
    }

    private WaitingJob waitingJob(JobProgress progress) {
        long declared = progress.job.spec().runSeconds() * 1_000;
        return new WaitingJob(
                progress.job.id(),
                progress.job.spec(),
                progress.job.arrivalMillis(),
                progress.notBeforeMillis,
                Math.max(1, declared - progress.doneMillis),
                progress.avoided);
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
        if (!progress.started && job.accelerators() >= largeAccelerators) {
            largeWaits.add(nowMillis - job.arrivalMillis());
        }
        progress.started = true;
        boolean fails =
                job.faulty()
                        || start.members().stream()
                                .anyMatch(m -> workload.badWorkers().contains(m.worker()));
        long left = job.runMillis() - progress.doneMillis;
        long end = nowMillis + (fails ? Math.min(left, FAIL_AFTER_MILLIS) : left);
        running.put(start.job(), new RunningAttempt(progress, start, nowMillis, end, fails));
    }

    private void measure() {
        Topology topology = new Topology(views());
        FreeCapacity free = FreeCapacity.ofIdleWorkers(topology);
        int inService = 0;
        for (int i = 0; i < topology.size(); i++) {
            boolean open = topology.worker(i).condition().acceptsTasks();
            inService += open ? topology.worker(i).accelerators() : 0;
        }
        int used = 0;
        for (RunningAttempt gang : running.values()) {
            free.allocate(gang.progress().job.spec(), gang.start().members());
            used += gang.progress().job.accelerators();
        }
        usedAcceleratorsSum += used;
        acceleratorsInServiceSum += inService;
        SubmittedJob largest = largestWaiting(topology);
        if (largest != null && inService > used) {
            int usable = usableAccelerators(topology, free, largest);
            fragmentationSum += 1 - Math.min(1.0, (double) usable / (inService - used));
            fragmentationRounds++;
        }
    }

    private SubmittedJob largestWaiting(Topology topology) {
        GangFitter fitter = new GangFitter(topology, WorkerOrder.LISTED);
        FreeCapacity whole = FreeCapacity.ofIdleWorkers(topology);
        SubmittedJob largest = null;
        for (JobProgress progress : waiting.values()) {
            SubmittedJob job = progress.job;
            boolean larger = largest == null || job.accelerators() > largest.accelerators();
            if (larger
                    && job.accelerators() > 0
                    && fitter.fit(whole, job.spec(), Set.of()).isPresent()) {
                largest = job;
            }
        }
        return largest;
    }

    /**
     * Returns the number of free accelerators that tasks of a job could use in the topology domain
     * that holds the most of them.
     */
    private static int usableAccelerators(Topology topology, FreeCapacity free, SubmittedJob job) {
        Map<String, Integer> noneAvoided = new HashMap<>();
        int best = 0;
        GangFitter fitter = new GangFitter(topology, WorkerOrder.LISTED);
        for (TopologyDomain domain : topology.domains(job.spec().adjacency())) {
            int tasks = 0;
            for (int worker : domain.workers()) {
                tasks += fitter.tasksThatFit(free, job.spec(), noneAvoided.keySet(), worker);
            }
            best = Math.max(best, tasks);
        }
        return best * job.spec().acceleratorsPerTask();
    }
}
