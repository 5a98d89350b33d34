package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.schedule.Prospect;
import org.fescueloom.schedule.RunningUnit;
import org.fescueloom.schedule.UpstreamCapacity;
import org.fescueloom.schedule.WaitingUnit;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.Submission;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskPhase;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/** Turns what the dispatcher knows into the input of a round. */
final class SchedulerInput {
    /** Stands for the priority of a queue that the configuration no longer has. */
    private static final int LOWEST_PRIORITY = Integer.MAX_VALUE;

    /** The priority that guarantees hold for. */
    private static final int URGENT = 0;

    private final FleetView fleet;
    private final Collection<AgentView> agents;
    private final DispatchTimings terms;
    private final Map<String, Set<String>> failedOn;
    private final WaitTimes waitTimes;
    private final long steadyMillis;
    private final long dateMillis;
    private final Map<String, Long> urgentNeed = new HashMap<>();
    private final Map<TaskKey, String> agentOfTask = new HashMap<>();
    private final Map<TaskKey, AssignedRun> runOfTask = new HashMap<>();

    SchedulerInput(
            FleetView fleet,
            Collection<AgentView> agents,
            DispatchTimings terms,
            Map<String, Set<String>> failedOn,
            WaitTimes waitTimes,
            long steadyMillis,
            long dateMillis,
            Collection<WorkJob> jobs) {
        this.fleet = fleet;
        this.agents = agents;
        this.terms = terms;
        this.failedOn = failedOn;
        this.waitTimes = waitTimes;
        this.steadyMillis = steadyMillis;
        this.dateMillis = dateMillis;
        for (WorkJob job : jobs) {
            if (!job.phase().ended() && priority(job) == URGENT) {
                urgentNeed.merge(job.submission().customer(), accelerators(job), Long::sum);
            }
        }
        for (AgentView agent : agents) {
            for (AssignedRun run : agent.runs().values()) {
                agentOfTask.put(run.task(), agent.name());
                runOfTask.put(run.task(), run);
            }
        }
    }

    /** Returns the upstreams that may be given tasks. */
    List<UpstreamCapacity> availableUpstreams() {
        List<UpstreamCapacity> rooms = new ArrayList<>();
        for (AgentView agent : agents) {
            if (mayTakeTasks(agent)) {
                UpstreamNotice notice = agent.notice();
                Resources free = agent.capacity().minus(agent.usedResources());
                rooms.add(
                        new UpstreamCapacity(
                                agent.name(),
                                notice.service(),
                                notice.rack(),
                                new HashSet<>(notice.labels()),
                                free,
                                free.plus(agent.stoppingResources()),
                                agent.health().slowness(),
                                agent.health().slownessUpperBound(),
                                !agent.health().speedKnown() && agent.runs().isEmpty(),
                                agent.health().suspect(steadyMillis)));
            }
        }
        return rooms;
    }

    private boolean mayTakeTasks(AgentView agent) {
        return agent.startAllowed(fleet.zonesOut())
                && steadyMillis - agent.lastReportMillis() < terms.maxReportAgeMillis();
    }

    /** Returns the tasks of a job that may start now. */
    List<WaitingUnit> waitingUnits(WorkJob job) {
        List<WaitingUnit> units = new ArrayList<>();
        Submission submission = job.submission();
        for (int k : job.dueOccurrences(dateMillis)) {
            for (int s = 0; s < submission.work().steps().size(); s++) {
                if (job.isStepReady(k, s)) {
                    unit(job, k, s).ifPresent(units::add);
                }
            }
        }
        return units;
    }

    private Optional<WaitingUnit> unit(WorkJob job, int occurrence, int step) {
        StepSpec spec = job.submission().work().steps().get(step);
        List<TaskRecord> tasks = job.tasks(occurrence, step);
        List<Integer> waiting = new ArrayList<>();
        Map<String, Integer> perUpstream = new HashMap<>();
        for (int i = 0; i < tasks.size(); i++) {
            if (tasks.get(i).phase() == TaskPhase.WAITING) {
                waiting.add(i);
            } else if (tasks.get(i).phase() == TaskPhase.ASSIGNED) {
                TaskKey key = new TaskKey(job.submission().id(), occurrence, step, i);
                perUpstream.merge(agentOfTask.getOrDefault(key, ""), 1, Integer::sum);
            }
        }
        boolean broken = spec.gang() && waiting.size() < tasks.size();
        if (waiting.isEmpty() || broken) {
            return Optional.empty();
        }
        Optional<QueuePolicy> queue = queue(job);
        Submission submission = job.submission();
        long due = Math.max(submission.acceptedAtMillis(), submission.work().dueMillis(occurrence));
        double factor = queue.map(QueuePolicy::slackFactor).orElse(1.0);
        long answer = queue.map(QueuePolicy::sloAllowanceMillis).orElse(0L);
        long objective = due + answer + (long) (factor * submission.work().criticalPathMillis());
        return Optional.of(
                new WaitingUnit(
                        submission.id(),
                        occurrence,
                        step,
                        waiting,
                        spec,
                        queue.map(QueuePolicy::service).orElse(submission.service()),
                        submission.customer(),
                        priority(job),
                        Prospect.of(due, objective, dateMillis + spec.estimateMillis()),
                        objective,
                        Math.max(0, dateMillis - due),
                        waitTimes.recordWait(
                                StepIds.occurrenceStepId(submission.id(), occurrence, step),
                                steadyMillis),
                        guaranteed(job),
                        factor,
                        failedOn.getOrDefault(StepIds.stepId(submission.id(), step), Set.of()),
                        perUpstream));
    }

    private int priority(WorkJob job) {
        return queue(job).map(QueuePolicy::priority).orElse(LOWEST_PRIORITY);
    }

    /** Tells whether the urgent jobs of the customer need no more than it is guaranteed. */
    private boolean guaranteed(WorkJob job) {
        String customer = job.submission().customer();
        return priority(job) == URGENT
                && urgentNeed.getOrDefault(customer, 0L)
                        <= fleet.configuration().guaranteedAccelerators(customer);
    }

    /** Returns the most accelerators that a step of the job takes at once. */
    private static long accelerators(WorkJob job) {
        long most = 0;
        for (StepSpec step : job.submission().work().steps()) {
            most = Math.max(most, step.count() * step.need().accelerators());
        }
        return most;
    }

    private Optional<QueuePolicy> queue(WorkJob job) {
        return fleet.configuration().queue(job.submission().queue());
    }

    /** Returns the runs that may be stopped for others. */
    List<RunningUnit> preemptibleUnits(Map<String, WorkJob> jobs) {
        Map<String, List<AssignedRun>> groups = new LinkedHashMap<>();
        for (AssignedRun run : runOfTask.values()) {
            WorkJob job = jobs.get(run.task().job());
            if (job != null) {
                StepSpec spec = DispatchState.stepOf(job, run.task());
                groups.computeIfAbsent(gangOrTaskId(run.task(), spec), id -> new ArrayList<>())
                        .add(run);
            }
        }
        List<RunningUnit> units = new ArrayList<>();
        groups.forEach(
                (id, runs) -> {
                    if (runs.stream().noneMatch(AssignedRun::stopRequested)) {
                        units.add(runningUnit(id, runs, jobs.get(runs.get(0).task().job())));
                    }
                });
        return units;
    }

    /** Names what ends together: the gang of a task, or the task alone. */
    static String gangOrTaskId(TaskKey task, StepSpec spec) {
        return spec.gang() ? StepIds.occurrenceStepId(task) : task.toString();
    }

    private RunningUnit runningUnit(String id, List<AssignedRun> runs, WorkJob job) {
        Map<String, Resources> room = new HashMap<>();
        double loss = 0;
        for (AssignedRun run : runs) {
            room.merge(agentOfTask.get(run.task()), run.resources(), Resources::plus);
            loss += loss(run, DispatchState.stepOf(job, run.task()));
        }
        return new RunningUnit(
                id, job.submission().customer(), priority(job), guaranteed(job), room, loss);
    }

    private double loss(AssignedRun run, StepSpec spec) {
        long elapsed = run.listed() ? steadyMillis - run.firstListedMillis() : 0;
        double seconds = elapsed / 1_000.0;
        return spec.need().cores() * (spec.checkpoints() ? Math.min(seconds, 1.0) : seconds);
    }
}
