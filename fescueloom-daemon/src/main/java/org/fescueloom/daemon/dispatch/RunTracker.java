package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.schedule.StepEstimateError;
import org.fescueloom.work.JobPhase;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskPhase;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/** Takes in what agents report of runs, and draws the consequences for tasks and jobs. */
final class RunTracker {
    private final DispatchState state;
    private final OrderIssuer orders;
    private final Set<String> failedGangRuns = new HashSet<>();
    private final Map<String, Set<String>> failedAgentsByStep = new HashMap<>();
    private final Map<String, StepEstimateError> paces = new HashMap<>();

    RunTracker(DispatchState state, OrderIssuer orders) {
        this.state = state;
        this.orders = orders;
    }

    /** Takes in a report that is newer than the last one; tells whether any run has ended. */
    boolean applyReport(AgentView agent, AgentReport report, long now) {
        UpstreamNotice notice = report.notice();
        if (notice == null) {
            return false;
        }
        int before = agent.runs().size();
        agent.runsOfOtherBoots().forEach(run -> endRun(agent, run, RunEnd.GONE, ""));
        if (notice.state() == UpstreamState.GONE) {
            endAllRuns(agent, RunEnd.GONE);
        } else if (report.looked()) {
            takeLook(agent, report, now);
        }
        return agent.runs().size() < before;
    }

    private void takeLook(AgentView agent, AgentReport report, long now) {
        boolean news = false;
        for (EndedRun row : report.ended()) {
            if (agent.recordEnd(row.number())) {
                takeEnd(agent, row);
                news = true;
            }
        }
        if (news) {
            acknowledgeOnceStored(agent);
        }
        report.running().forEach(row -> seen(agent, row, now));
        for (StopOrder barred : report.barred()) {
            AssignedRun run = agent.runs().get(barred.task());
            if (run != null && run.number() == barred.run() && run.boot().equals(barred.boot())) {
                endRun(agent, run, RunEnd.GONE, "");
            }
        }
    }

    private void acknowledgeOnceStored(AgentView agent) {
        String boot = agent.boot();
        long taken = agent.lastRecordedEnd();
        state.writer()
                .whenStored(
                        () -> {
                            agent.acknowledge(boot, taken);
                            orders.answerIfNeeded(agent);
                        });
    }

    private void takeEnd(AgentView agent, EndedRun row) {
        AssignedRun run = agent.runs().get(row.task());
        if (run != null && run.number() == row.run()) {
            endRun(agent, run, row.end(), row.checkpoint());
        } else {
            EventLog.event("end-ignored")
                    .field("task", row.task())
                    .field("run", row.run())
                    .field("end", row.end().text())
                    .field("agent", agent.name())
                    .info();
        }
    }

    private void seen(AgentView agent, RunStatus row, long now) {
        AssignedRun run = agent.runs().get(row.task());
        if (run == null || run.number() != row.run()) {
            return;
        }
        run.markListed(now);
        run.markCheckpoint(row.checkpoint(), now);
        WorkJob job = state.jobs().get(run.task().job());
        if (job == null || job.task(run.task()) == null) {
            return;
        }
        if (!row.checkpoint().isEmpty()) {
            saveCheckpoint(job, run, row.checkpoint());
        }
        learnWhileRunning(agent, run, job, now);
    }

    private static void saveCheckpoint(WorkJob job, AssignedRun run, String checkpoint) {
        for (TaskKey key : DispatchState.gangMembers(job, run.task())) {
            TaskRecord task = job.task(key);
            if (task != null && task.run() == run.number()) {
                job.replaceTask(key, task.withCheckpoint(checkpoint));
            }
        }
    }

    /** Ends everything that may exist on the upstream of an agent. */
    void endAllRuns(AgentView agent, RunEnd end) {
        for (AssignedRun run : List.copyOf(agent.runs().values())) {
            endRun(agent, run, end, "");
        }
    }

    private void endRun(AgentView agent, AssignedRun run, RunEnd end, String checkpoint) {
        agent.runs().remove(run.task().toString());
        EventLog.event("run-ended")
                .field("task", run.task())
                .field("run", run.number())
                .field("agent", agent.name())
                .field("boot", run.boot())
                .field("end", end.text())
                .field("seen", run.listed())
                .field("epoch", state.epoch())
                .info();
        state.metrics().count("tasks.ends." + end.text());
        WorkJob job = state.jobs().get(run.task().job());
        if (job == null || job.task(run.task()) == null) {
            return;
        }
        if (!checkpoint.isEmpty()) {
            saveCheckpoint(job, run, checkpoint);
        }
        learn(agent, run, end, job);
        boolean gang = DispatchState.stepOf(job, run.task()).gang();
        if (gang && end == RunEnd.DONE) {
            gangDone(job, run);
        } else {
            boolean counted = gang && end == RunEnd.FAILED && !failedGangRuns.add(gangRun(run));
            apply(job, run.task(), counted ? RunEnd.BROKEN : end);
        }
        conclude(job);
        state.saveJob(job);
    }

    private static String gangRun(AssignedRun run) {
        return StepIds.occurrenceStepId(run.task()) + '#' + run.number();
    }

    /** One end of a gang that is done stands for all its members. */
    private void gangDone(WorkJob job, AssignedRun run) {
        Set<TaskKey> done = new HashSet<>();
        for (TaskKey key : DispatchState.gangMembers(job, run.task())) {
            TaskRecord task = job.task(key);
            if (task != null && task.run() == run.number()) {
                job.replaceTask(
                        key, new TaskRecord(TaskPhase.DONE, task.run(), null, task.failures(), ""));
                done.add(key);
            }
        }
        // Room is free only once the upstream has listed the end of a run.
        state.requestStops(rest -> done.contains(rest.task()));
    }

    /** Learns from an end how fast the upstream is and whether it can be trusted. */
    private void learn(AgentView agent, AssignedRun run, RunEnd end, WorkJob job) {
        long now = state.monotonicMillis();
        StepSpec spec = DispatchState.stepOf(job, run.task());
        boolean current = job.task(run.task()).phase() == TaskPhase.ASSIGNED;
        if (end == RunEnd.FAILED) {
            agent.health().recordFailure(now);
            failedAgentsByStep
                    .computeIfAbsent(stepName(run.task()), k -> new HashSet<>())
                    .add(agent.name());
        } else if (end == RunEnd.DONE
                && current
                && run.startedWithoutCheckpoint()
                && run.listed()
                && isComparable(agent, spec)) {
            double ratio = ratio(run, spec, now);
            agent.health()
                    .recordSuccess(ratio, pace(run.task()), spec.gang() && spec.count() > 1, now);
            state.saveSpeed(agent);
        }
    }

    /** Learns from a run that goes on, whenever it began; a gang may wait for other members. */
    private void learnWhileRunning(AgentView agent, AssignedRun run, WorkJob job, long now) {
        StepSpec spec = DispatchState.stepOf(job, run.task());
        if (!spec.gang() && isComparable(agent, spec)) {
            agent.health().recordRunning(ratio(run, spec, now), pace(run.task()));
        }
    }

    /** Tells whether the time of a run says something of the upstream. */
    private static boolean isComparable(AgentView agent, StepSpec spec) {
        boolean near = spec.dataRack().isEmpty() || spec.dataRack().equals(agent.notice().rack());
        return near && !spec.endless() && spec.estimateMillis() > 0;
    }

    /** Returns how long a run takes or has taken over the estimate, at least a millisecond. */
    private static double ratio(AssignedRun run, StepSpec spec, long now) {
        return Math.max(1.0, now - run.firstListedMillis()) / spec.estimateMillis();
    }

    private StepEstimateError pace(TaskKey task) {
        return paces.computeIfAbsent(stepName(task), name -> new StepEstimateError());
    }

    private static String stepName(TaskKey task) {
        return StepIds.stepId(task.job(), task.step());
    }

    /** Returns the agents on which a run of a step has failed, by "JOB.STEP". */
    Map<String, Set<String>> failedAgentsByStep() {
        return failedAgentsByStep;
    }

    private static void apply(WorkJob job, TaskKey key, RunEnd end) {
        job.replaceTask(key, job.task(key).withEnd(end, ""));
    }

    /** Ends the job if nothing is left to do or its attempts are used up. */
    private void conclude(WorkJob job) {
        if (job.phase().ended()) {
            return;
        }
        if (job.allDone()) {
            endJob(job, JobPhase.SUCCEEDED);
        } else if (attemptsUsedUp(job)) {
            endJob(job, JobPhase.FAILED);
        }
    }

    /** Ends a job and stops what still runs of it. */
    void endJob(WorkJob job, JobPhase phase) {
        long now = state.wallClockMillis();
        job.end(phase, now);
        EventLog.event("job-ended")
                .field("job", job.submission().id())
                .field("queue", job.submission().queue())
                .field("phase", phase.text())
                .field("epoch", state.epoch())
                .field("millis", now - job.submission().acceptedAtMillis())
                .info();
        state.metrics().count("tasks.jobs-" + phase.text());
        String id = job.submission().id();
        state.requestStops(run -> run.task().job().equals(id));
        state.agents().values().forEach(orders::answerIfNeeded);
    }

    /** Forgets what was learned of the steps of a job that is no longer kept. */
    void forgetJob(WorkJob job) {
        String id = job.submission().id();
        failedGangRuns.removeIf(run -> run.startsWith(id + '.'));
        for (int s = 0; s < job.submission().work().steps().size(); s++) {
            String name = StepIds.stepId(id, s);
            failedAgentsByStep.remove(name);
            paces.remove(name);
        }
    }

    private boolean attemptsUsedUp(WorkJob job) {
        int attempts =
                state.fleet()
                        .configuration()
                        .queue(job.submission().queue())
                        .map(QueuePolicy::maxFailedRuns)
                        .orElse(Integer.MAX_VALUE);
        List<StepSpec> steps = job.submission().work().steps();
        for (int k : job.dueOccurrences(state.wallClockMillis())) {
            for (int s = 0; s < steps.size(); s++) {
                if (!steps.get(s).endless() && failures(job, k, s) >= attempts) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the most failures of a task of a step, or those of its gang. */
    private static int failures(WorkJob job, int occurrence, int step) {
        boolean gang = job.submission().work().steps().get(step).gang();
        int most = 0;
        int sum = 0;
        for (TaskRecord task : job.tasks(occurrence, step)) {
            most = Math.max(most, task.failures());
            sum += task.failures();
        }
        return gang ? sum : most;
    }
}
