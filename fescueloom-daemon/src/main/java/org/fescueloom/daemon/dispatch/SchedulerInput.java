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

/** Builds the input of one scheduling round from the state of the dispatcher. */
final class SchedulerInput {
    /**
     * The priority of jobs whose queue is no longer configured. Higher numbers are lower
     * priorities.
     */
    static final int LOWEST_PRIORITY = Integer.MAX_VALUE;

    /** The capacity into which not even a task without any need fits. */
    private static final Resources NOTHING_FITS = new Resources(-1, -1, -1);

    /** The priority to which the guarantees of customers apply. */
    private static final int GUARANTEED_PRIORITY = 0;

    private final FleetView fleet;
    private final Collection<AgentView> agents;
    private final DispatchTimings timings;
    private final Map<String, Set<String>> failedAgentsByStep;
    private final WorkSeen workSeen;
    private final WaitTimes waitTimes;
    private final long monotonicMillis;
    private final long wallClockMillis;
    private final Map<String, Long> guaranteedPriorityDemand = new HashMap<>();
    private final Map<TaskKey, String> agentByTask = new HashMap<>();
    private final Map<TaskKey, AssignedRun> runByTask = new HashMap<>();

    SchedulerInput(
            FleetView fleet,
            Collection<AgentView> agents,
            DispatchTimings timings,
            Map<String, Set<String>> failedAgentsByStep,
            WorkSeen workSeen,
            WaitTimes waitTimes,
            long monotonicMillis,
            long wallClockMillis,
            Collection<WorkJob> jobs) {
        this.fleet = fleet;
        this.agents = agents;
        this.timings = timings;
        this.failedAgentsByStep = failedAgentsByStep;
        this.workSeen = workSeen;
        this.waitTimes = waitTimes;
        this.monotonicMillis = monotonicMillis;
        this.wallClockMillis = wallClockMillis;
        for (WorkJob job : jobs) {
            if (!job.phase().ended() && priority(job) == GUARANTEED_PRIORITY) {
                guaranteedPriorityDemand.merge(
                        job.submission().customer(), maxAccelerators(job), Long::sum);
            }
        }
        for (AgentView agent : agents) {
            for (AssignedRun run : agent.runs().values()) {
                agentByTask.put(run.task(), agent.name());
                runByTask.put(run.task(), run);
            }
        }
    }

    /** Returns the upstreams that can take tasks. */
    List<UpstreamCapacity> availableUpstreams() {
        List<UpstreamCapacity> upstreams = new ArrayList<>();
        for (AgentView agent : agents) {
            if (canTakeTasks(agent)) {
                UpstreamNotice notice = agent.notice();
                Resources free = agent.capacity().minus(agent.usedResources());
                upstreams.add(
                        new UpstreamCapacity(
                                agent.name(),
                                notice.service(),
                                notice.rack(),
                                new HashSet<>(notice.labels()),
                                agent.fullOfRuns() ? NOTHING_FITS : free,
                                free.plus(agent.stoppingResources()),
                                agent.attainableCapacity(),
                                agent.health().slowness(),
                                agent.health().slownessUpperBound(),
                                !agent.health().speedKnown() && agent.runs().isEmpty(),
                                agent.health().suspect(monotonicMillis)));
            }
        }
        return upstreams;
    }

    /**
     * Counts the agents, by what is known of them.
     *
     * @param expectedAgents the names of all agents that may exist
     */
    FleetCensus census(Set<String> expectedAgents) {
        int available = 0;
        int heard = 0;
        for (AgentView agent : agents) {
            heard += agent.heard() ? 1 : 0;
            available += agent.heard() && canTakeTasks(agent) ? 1 : 0;
        }
        return new FleetCensus(available, expectedAgents.size() - heard, heard - available);
    }

    private boolean canTakeTasks(AgentView agent) {
        return agent.startAllowed(fleet.zonesOut())
                && monotonicMillis - agent.lastReportMillis() < timings.maxReportAgeMillis();
    }

    /** Returns the units that a round considers, of those that are due and ready to start. */
    List<WaitingUnit> waitingUnits(List<WorkJob> activeJobs, RoundSelection selection) {
        Map<WorkJob, List<WaitingStep>> stepsByJob = new LinkedHashMap<>();
        for (WorkJob job : activeJobs) {
            List<WaitingStep> steps = waitingSteps(job);
            if (!steps.isEmpty()) {
                stepsByJob.put(job, steps);
            }
        }
        selection.beginRound(stepsByJob.values().stream().map(List::size).toList());
        List<WaitingUnit> units = new ArrayList<>();
        stepsByJob.forEach(
                (job, steps) -> {
                    String id = job.submission().id();
                    List<WaitingStep> selected = selection.select(id, steps);
                    selected.forEach(step -> units.add(waitingUnit(job, step)));
                    if (selected.size() < steps.size()) {
                        waitTimes.keepSteps(id, step -> waits(job, step));
                    }
                });
        return units;
    }

    /**
     * Returns the steps of a job that are due and ready to start, in the order of their occurrences
     * and numbers.
     */
    private List<WaitingStep> waitingSteps(WorkJob job) {
        List<WaitingStep> waiting = new ArrayList<>();
        int steps = job.submission().work().steps().size();
        for (int occurrence : job.dueOccurrences(wallClockMillis)) {
            for (int step = 0; step < steps; step++) {
                WaitingStep waitingStep = new WaitingStep(occurrence, step);
                if (waits(job, waitingStep)) {
                    waiting.add(waitingStep);
                }
            }
        }
        return waiting;
    }

    /** Tests whether tasks of a step can start; those of a gang must all wait. */
    private static boolean waits(WorkJob job, WaitingStep step) {
        if (!job.hasRecords(step.occurrence())) {
            return false;
        }
        StepSpec spec = job.submission().work().steps().get(step.step());
        int waiting = job.waitingTasks(step.occurrence(), step.step());
        return waiting > 0
                && (!spec.gang() || waiting == spec.count())
                && job.isStepReady(step.occurrence(), step.step());
    }

    /** Returns the unit of a waiting step. */
    private WaitingUnit waitingUnit(WorkJob job, WaitingStep waitingStep) {
        int occurrence = waitingStep.occurrence();
        int step = waitingStep.step();
        StepSpec spec = job.submission().work().steps().get(step);
        List<TaskRecord> tasks = job.tasks(occurrence, step);
        List<Integer> waitingTasks = new ArrayList<>();
        Map<String, Integer> runsPerUpstream = new HashMap<>();
        for (int i = 0; i < tasks.size(); i++) {
            if (tasks.get(i).phase() == TaskPhase.WAITING) {
                waitingTasks.add(i);
            } else if (tasks.get(i).phase() == TaskPhase.ASSIGNED) {
                TaskKey key = new TaskKey(job.submission().id(), occurrence, step, i);
                // The empty name stands for an unknown upstream.
                runsPerUpstream.merge(agentByTask.getOrDefault(key, ""), 1, Integer::sum);
            }
        }
        Optional<QueuePolicy> queue = queue(job);
        Submission submission = job.submission();
        long dueMillis =
                Math.max(submission.acceptedAtMillis(), submission.work().dueMillis(occurrence));
        // The defaults apply to a job whose queue is no longer configured.
        double slackFactor = queue.map(QueuePolicy::slackFactor).orElse(1.0);
        long sloAllowanceMillis = queue.map(QueuePolicy::sloAllowanceMillis).orElse(0L);
        long objectiveMillis =
                dueMillis
                        + sloAllowanceMillis
                        + (long) (slackFactor * workSeen.criticalPathMillis(submission));
        return new WaitingUnit(
                submission.id(),
                occurrence,
                step,
                waitingTasks,
                spec,
                queue.map(QueuePolicy::service).orElse(submission.service()),
                submission.customer(),
                priority(job),
                Prospect.of(
                        dueMillis,
                        objectiveMillis,
                        wallClockMillis + workSeen.expectedRunMillis(submission, spec)),
                objectiveMillis,
                Math.max(0, wallClockMillis - dueMillis),
                waitTimes.recordWait(submission.id(), waitingStep, monotonicMillis),
                withinGuarantee(job),
                slackFactor,
                failedAgentsByStep.getOrDefault(StepIds.stepId(submission.id(), step), Set.of()),
                runsPerUpstream);
    }

    private int priority(WorkJob job) {
        return priority(fleet, job);
    }

    /** Returns the priority of a job, or the least urgent one if its queue is not configured. */
    static int priority(FleetView fleet, WorkJob job) {
        return fleet.configuration()
                .queue(job.submission().queue())
                .map(QueuePolicy::priority)
                .orElse(LOWEST_PRIORITY);
    }

    /**
     * Tests whether a job has the guaranteed priority, and all such jobs of its customer together
     * need no more accelerators than the customer is guaranteed.
     */
    private boolean withinGuarantee(WorkJob job) {
        String customer = job.submission().customer();
        return priority(job) == GUARANTEED_PRIORITY
                && guaranteedPriorityDemand.getOrDefault(customer, 0L)
                        <= fleet.configuration().guaranteedAccelerators(customer);
    }

    /** Returns the number of accelerators that the largest step of a job needs at once. */
    private static long maxAccelerators(WorkJob job) {
        long max = 0;
        for (StepSpec step : job.submission().work().steps()) {
            max = Math.max(max, step.count() * step.need().accelerators());
        }
        return max;
    }

    private Optional<QueuePolicy> queue(WorkJob job) {
        return fleet.configuration().queue(job.submission().queue());
    }

    /**
     * Returns the running units that may be preempted; leaves out units that are already stopping.
     */
    List<RunningUnit> preemptibleUnits(Map<String, WorkJob> jobs) {
        Map<String, List<AssignedRun>> runsByUnit = new LinkedHashMap<>();
        for (AssignedRun run : runByTask.values()) {
            WorkJob job = jobs.get(run.task().job());
            if (job != null) {
                StepSpec spec = DispatchState.stepOf(job, run.task());
                runsByUnit
                        .computeIfAbsent(gangOrTaskId(run.task(), spec), id -> new ArrayList<>())
                        .add(run);
            }
        }
        List<RunningUnit> units = new ArrayList<>();
        runsByUnit.forEach(
                (id, runs) -> {
                    if (runs.stream().noneMatch(AssignedRun::stopRequested)) {
                        units.add(runningUnit(id, runs, jobs.get(runs.get(0).task().job())));
                    }
                });
        return units;
    }

    /** Returns the identifier of the gang of a task, or of the task itself if it has no gang. */
    static String gangOrTaskId(TaskKey task, StepSpec spec) {
        return spec.gang() ? StepIds.occurrenceStepId(task) : task.toString();
    }

    private RunningUnit runningUnit(String unitId, List<AssignedRun> runs, WorkJob job) {
        Map<String, Resources> resources = new HashMap<>();
        double lossCoreSeconds = 0;
        for (AssignedRun run : runs) {
            resources.merge(agentByTask.get(run.task()), run.resources(), Resources::plus);
            lossCoreSeconds += lossCoreSeconds(run, DispatchState.stepOf(job, run.task()));
        }
        return new RunningUnit(
                unitId,
                job.submission().customer(),
                priority(job),
                withinGuarantee(job),
                resources,
                lossCoreSeconds);
    }

    /**
     * Returns the work that is lost if a run is stopped, in core-seconds. If the step has
     * checkpoints, at most the work of one second is lost.
     */
    private double lossCoreSeconds(AssignedRun run, StepSpec spec) {
        long elapsed = run.listed() ? monotonicMillis - run.firstListedMillis() : 0;
        double seconds = elapsed / 1_000.0;
        return spec.need().cores() * (spec.checkpoints() ? Math.min(seconds, 1.0) : seconds);
    }
}
