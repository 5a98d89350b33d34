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
import org.fescueloom.schedule.StepPace;
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
    private final Map<String, Set<String>> failedOn = new HashMap<>();
    private final Map<String, StepPace> paces = new HashMap<>();

    RunTracker(DispatchState state, OrderIssuer orders) {
        this.state = state;
        this.orders = orders;
    }

    /** Takes in a report that is newer than the last one; tells whether any run has ended. */
    boolean takeIn(AgentView agent, AgentReport report, long now) {
        UpstreamNotice notice = report.notice();
        if (notice == null) {
            return false;
        }
        int before = agent.runs().size();
        agent.runsOfOtherBoots().forEach(run -> endRun(agent, run, RunEnd.GONE, ""));
        if (notice.state() == UpstreamState.GONE) {
            endAll(agent, RunEnd.GONE);
        } else if (report.looked()) {
            takeLook(agent, report, now);
        }
        return agent.runs().size() < before;
    }

    private void takeLook(AgentView agent, AgentReport report, long now) {
        boolean news = false;
        for (EndRow row : report.ended()) {
            if (agent.takeEnd(row.number())) {
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
        long taken = agent.takenEnds();
        state.writer()
                .whenStored(
                        () -> {
                            agent.acknowledge(boot, taken);
                            orders.answerIfNeeded(agent);
                        });
    }

    private void takeEnd(AgentView agent, EndRow row) {
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

    private void seen(AgentView agent, RunRow row, long now) {
        AssignedRun run = agent.runs().get(row.task());
        if (run == null || run.number() != row.run()) {
            return;
        }
        run.markSeen(now);
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
        for (TaskKey key : DispatchState.membersOf(job, run.task())) {
            TaskRecord task = job.task(key);
            if (task != null && task.run() == run.number()) {
                job.put(key, task.saved(checkpoint));
            }
        }
    }

    /** Ends everything that may exist on the upstream of an agent. */
    void endAll(AgentView agent, RunEnd end) {
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
                .field("seen", run.seen())
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
        state.changed(job);
    }

    private static String gangRun(AssignedRun run) {
        return StepNames.ofOccurrence(run.task()) + '#' + run.number();
    }

    /** One end of a gang that is done stands for all its members. */
    private void gangDone(WorkJob job, AssignedRun run) {
        Set<TaskKey> done = new HashSet<>();
        for (TaskKey key : DispatchState.membersOf(job, run.task())) {
            TaskRecord task = job.task(key);
            if (task != null && task.run() == run.number()) {
                job.put(key, new TaskRecord(TaskPhase.DONE, task.run(), null, task.failures(), ""));
                done.add(key);
            }
        }
        // Room is free only once the upstream has listed the end of a run.
        state.requestStops(rest -> done.contains(rest.task()));
    }

    /** Learns from an end how fast the upstream is and whether it can be trusted. */
    private void learn(AgentView agent, AssignedRun run, RunEnd end, WorkJob job) {
        long now = state.steadyMillis();
        StepSpec spec = DispatchState.stepOf(job, run.task());
        boolean current = job.task(run.task()).phase() == TaskPhase.ASSIGNED;
        if (end == RunEnd.FAILED) {
            agent.health().failed(now);
            failedOn.computeIfAbsent(stepName(run.task()), k -> new HashSet<>()).add(agent.name());
        } else if (end == RunEnd.DONE
                && current
                && run.fresh()
                && run.seen()
                && isComparable(agent, spec)) {
            double ratio = ratio(run, spec, now);
            agent.health().done(ratio, pace(run.task()), spec.gang() && spec.count() > 1, now);
            state.learned(agent);
        }
    }

    /** Learns from a run that goes on, whenever it began; a gang may wait for other members. */
    private void learnWhileRunning(AgentView agent, AssignedRun run, WorkJob job, long now) {
        StepSpec spec = DispatchState.stepOf(job, run.task());
        if (!spec.gang() && isComparable(agent, spec)) {
            agent.health().running(ratio(run, spec, now), pace(run.task()));
        }
    }

    /** Tells whether the time of a run says something of the upstream. */
    private static boolean isComparable(AgentView agent, StepSpec spec) {
        boolean near = spec.dataRack().isEmpty() || spec.dataRack().equals(agent.notice().rack());
        return near && !spec.endless() && spec.estimateMillis() > 0;
    }

    /** Returns how long a run takes or has taken over the estimate, at least a millisecond. */
    private static double ratio(AssignedRun run, StepSpec spec, long now) {
        return Math.max(1.0, now - run.seenMillis()) / spec.estimateMillis();
    }

    private StepPace pace(TaskKey task) {
        return paces.computeIfAbsent(stepName(task), name -> new StepPace());
    }

    private static String stepName(TaskKey task) {
        return StepNames.ofStep(task.job(), task.step());
    }

    /** Returns the agents on which a run of a step has failed, by "JOB.STEP". */
    Map<String, Set<String>> failedOn() {
        return failedOn;
    }

    private static void apply(WorkJob job, TaskKey key, RunEnd end) {
        job.put(key, job.task(key).ended(end, ""));
    }

    /** Ends the job if nothing is left to do or its attempts are used up. */
    private void conclude(WorkJob job) {
        if (job.phase().ended()) {
            return;
        }
        if (job.allDone()) {
            end(job, JobPhase.SUCCEEDED);
        } else if (attemptsUsedUp(job)) {
            end(job, JobPhase.FAILED);
        }
    }

    /** Ends a job and stops what still runs of it. */
    void end(WorkJob job, JobPhase phase) {
        long now = state.dateMillis();
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
    void forget(WorkJob job) {
        String id = job.submission().id();
        failedGangRuns.removeIf(run -> run.startsWith(id + '.'));
        for (int s = 0; s < job.submission().work().steps().size(); s++) {
            String name = StepNames.ofStep(id, s);
            failedOn.remove(name);
            paces.remove(name);
        }
    }

    private boolean attemptsUsedUp(WorkJob job) {
        int attempts =
                state.fleet()
                        .configuration()
                        .queue(job.submission().queue())
                        .map(QueuePolicy::attempts)
                        .orElse(Integer.MAX_VALUE);
        List<StepSpec> steps = job.submission().work().steps();
        for (int k : job.dueOccurrences(state.dateMillis())) {
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
