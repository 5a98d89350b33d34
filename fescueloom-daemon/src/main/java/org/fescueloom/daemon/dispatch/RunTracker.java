package org.fescueloom.daemon.dispatch;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.fleet.QueuePolicy;
import org.fescueloom.fleet.UpstreamNotice;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.json.Json;
import org.fescueloom.loss.LossCause;
import org.fescueloom.work.JobPhase;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.TaskBlock;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskPhase;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/** Applies the reports of agents to runs, tasks and jobs. */
final class RunTracker {
    /**
     * The maximum length of a checkpoint in JSON, in bytes; see {@link TaskBlock#MAX_TASKS} for the
     * length of the records of tasks.
     */
    static final int MAX_CHECKPOINT_BYTES = 1_024;

    private final DispatchState state;
    private final OrderIssuer orderIssuer;
    private final RunEndRecorder runEnds;
    private final Set<String> failedGangRuns = new HashSet<>();
    private final RunLearner learner;

    /** The jobs whose tasks have changed since their progress was last queued for storage. */
    private final Set<WorkJob> changedJobs = new LinkedHashSet<>();

    RunTracker(
            DispatchState state,
            OrderIssuer orderIssuer,
            RunEndRecorder runEnds,
            RunLengthLearner runLengths) {
        this.state = state;
        this.orderIssuer = orderIssuer;
        this.runEnds = runEnds;
        this.learner = new RunLearner(state, runLengths);
    }

    /**
     * Applies a report that is newer than the last one of the agent, and returns whether any run
     * has ended.
     */
    boolean applyReport(AgentView agent, AgentReport report, long now) {
        UpstreamNotice notice = report.notice();
        if (notice == null) {
            // No upstream has answered the agent.
            return false;
        }
        int runsBefore = agent.runs().size();
        // A report from before the takeover may be late, and its upstream not the present one.
        boolean epochReceived = report.epoch() >= state.epoch();
        if (epochReceived) {
            resolveRunsOfOtherBoots(agent, report);
        }
        if (report.looked()) {
            applySnapshot(agent, report, now);
        }
        if (notice.state() == UpstreamState.GONE && epochReceived) {
            endListedRuns(agent);
        }
        saveChangedJobs();
        return agent.runs().size() < runsBefore;
    }

    /**
     * Resolves the runs that were assigned to other incarnations than the reported one, once that
     * one has answered a poll: then no other incarnation exists. One with the same identifier may
     * have executed their start orders, which carry only the identifier, until it was first polled;
     * a later poll lists such a run, or the run will never exist there (see {@link FencingToken}).
     * A run that is not listed may have ended while not all ends are listed.
     */
    private void resolveRunsOfOtherBoots(AgentView agent, AgentReport report) {
        if (!report.looked()) {
            return;
        }
        String instance = report.notice().instance();
        Set<String> listedRuns = RunLists.runIds(report.running(), report.ended());
        for (AssignedRun run : agent.runsOfOtherBoots()) {
            boolean sameInstance = UpstreamNotice.instanceOf(run.boot()).equals(instance);
            if (!sameInstance) {
                endRun(agent, run, RunEnd.GONE, "", EndEvidence.OTHER_UPSTREAM);
            } else if (listedRuns.contains(runId(run))) {
                moveRun(agent, run);
            } else if (report.allEndsListed()) {
                endRun(agent, run, RunEnd.GONE, "", EndEvidence.LATER_INCARNATION);
            }
        }
    }

    private void moveRun(AgentView agent, AssignedRun run) {
        EventLog.event("run-moved")
                .field("task", run.task())
                .field("run", run.number())
                .field("agent", agent.name())
                .field("from", run.boot())
                .field("to", agent.boot())
                .field("epoch", state.epoch())
                .info();
        state.metrics().count("tasks.runs-moved");
        run.moveTo(agent.boot());
    }

    private static String runId(AssignedRun run) {
        return RunLists.runId(run.task().toString(), run.number());
    }

    /**
     * Ends the runs that an upstream had listed before it ended. The start order of another run may
     * still be executed by the next incarnation, so such a run ends once that incarnation is polled
     * or the lease has expired.
     */
    private void endListedRuns(AgentView agent) {
        for (AssignedRun run : List.copyOf(agent.runs().values())) {
            if (run.listed()) {
                endRun(agent, run, RunEnd.GONE, "", EndEvidence.DEPARTURE);
            }
        }
    }

    private void applySnapshot(AgentView agent, AgentReport report, long now) {
        boolean hasNewEnds = false;
        for (EndedRun endedRun : report.ended()) {
            if (agent.recordEndNumber(endedRun.number())) {
                applyEndedRun(agent, endedRun);
                hasNewEnds = true;
            }
        }
        if (hasNewEnds) {
            saveChangedJobs();
            acknowledgeOnceStored(agent);
        }
        long polledMillis = now - report.lookAgeMillis();
        report.running().forEach(status -> applyRunStatus(agent, status, polledMillis, now));
        for (StopOrder barred : report.barred()) {
            AssignedRun run = agent.runs().get(barred.task());
            if (run != null && run.number() == barred.run() && run.boot().equals(barred.boot())) {
                endRun(agent, run, RunEnd.GONE, "", EndEvidence.ABSENT_AFTER_STOP);
            }
        }
    }

    private void acknowledgeOnceStored(AgentView agent) {
        String boot = agent.boot();
        long lastEndNumber = agent.lastRecordedEndNumber();
        state.writer()
                .whenStored(
                        () -> {
                            agent.acknowledge(boot, lastEndNumber);
                            orderIssuer.completeParkedIfDue(agent);
                        });
    }

    private void applyEndedRun(AgentView agent, EndedRun endedRun) {
        AssignedRun run = agent.runs().get(endedRun.task());
        if (run != null && run.number() == endedRun.run()) {
            endRun(agent, run, endedRun.end(), endedRun.checkpoint(), EndEvidence.LISTED);
        } else {
            EventLog.event("end-ignored")
                    .field("task", endedRun.task())
                    .field("run", endedRun.run())
                    .field("end", endedRun.end().text())
                    .field("agent", agent.name())
                    .info();
        }
    }

    private void applyRunStatus(AgentView agent, RunStatus status, long polledMillis, long now) {
        AssignedRun run = agent.runs().get(status.task());
        if (run == null || run.number() != status.run()) {
            return;
        }
        run.markListed(now);
        run.markCheckpoint(status.checkpoint(), now);
        WorkJob job = state.jobs().get(run.task().job());
        if (job == null || job.task(run.task()) == null) {
            return;
        }
        if (!status.checkpoint().isEmpty()) {
            saveCheckpoint(job, run, status.checkpoint());
        }
        learner.learnFromPace(agent, run, status, job, polledMillis, now);
        // Once its pace is known, a long run time shows a wrong estimate.
        if (!run.pace().measured()) {
            learner.learnFromRunningRun(agent, run, job, now);
        }
    }

    /**
     * Records a checkpoint for the task of a run, and for all members of its gang. A checkpoint
     * that is too long to be stored is left out, so that the task resumes from the one before.
     */
    private void saveCheckpoint(WorkJob job, AssignedRun run, String checkpoint) {
        if (checkpoint.equals(job.task(run.task()).checkpoint())) {
            return;
        }
        if (Json.write(checkpoint).length > MAX_CHECKPOINT_BYTES) {
            state.metrics().count("tasks.checkpoints-too-long");
            return;
        }
        for (TaskKey key : DispatchState.gangMembers(job, run.task())) {
            TaskRecord task = job.task(key);
            if (task != null && task.run() == run.number()) {
                job.replaceTask(key, task.withCheckpoint(checkpoint));
            }
        }
    }

    /** Records that the leases of all runs on the upstream of an agent have expired. */
    void endRunsWithExpiredLease(AgentView agent) {
        for (AssignedRun run : List.copyOf(agent.runs().values())) {
            endRun(agent, run, RunEnd.LAPSED, "", EndEvidence.LEASE_EXPIRED);
        }
        saveChangedJobs();
    }

    private void endRun(
            AgentView agent, AssignedRun run, RunEnd end, String checkpoint, EndEvidence evidence) {
        agent.runs().remove(run.task().toString());
        runEnds.recordEnd(agent, run, end, checkpoint, evidence);
        WorkJob job = state.jobs().get(run.task().job());
        if (job == null || job.task(run.task()) == null) {
            return;
        }
        if (!checkpoint.isEmpty()) {
            saveCheckpoint(job, run, checkpoint);
        }
        learner.learnFromEnd(agent, run, end, job);
        StepSpec spec = DispatchState.stepOf(job, run.task());
        RunEnd counted = end.forStep(spec);
        if (spec.gang() && counted == RunEnd.DONE) {
            completeGang(job, run);
        } else {
            // A gang run counts as one failure: later failures of its members are recorded as
            // BROKEN, which does not count.
            boolean alreadyCounted =
                    spec.gang() && counted == RunEnd.FAILED && !failedGangRuns.add(gangRunId(run));
            recordTaskEnd(job, run.task(), alreadyCounted ? RunEnd.BROKEN : counted);
        }
        if (spec.gang() && spec.endless() && end == RunEnd.DONE) {
            stopGang(job, run);
        }
        changedJobs.add(job);
    }

    /** Ends the changed jobs that are finished, and stores the progress of all changed jobs. */
    private void saveChangedJobs() {
        for (WorkJob job : changedJobs) {
            endJobIfFinished(job);
            state.saveJob(job);
        }
        changedJobs.clear();
    }

    private static String gangRunId(AssignedRun run) {
        return StepIds.occurrenceStepId(run.task()) + '#' + run.number();
    }

    /** Completes all tasks of a gang, because one of its runs has succeeded. */
    private void completeGang(WorkJob job, AssignedRun run) {
        Set<TaskKey> doneTasks = new HashSet<>();
        for (TaskKey key : DispatchState.gangMembers(job, run.task())) {
            TaskRecord task = job.task(key);
            if (task != null && task.run() == run.number()) {
                job.replaceTask(
                        key, new TaskRecord(TaskPhase.DONE, task.run(), null, task.failures(), ""));
                doneTasks.add(key);
            }
        }
        // The other runs still hold their resources until the upstream lists their ends.
        state.requestStops(LossCause.SUPERSEDED, gangRun -> doneTasks.contains(gangRun.task()));
    }

    /** Requests the stop of the other runs of a gang, so that the gang can be restarted. */
    private void stopGang(WorkJob job, AssignedRun run) {
        Set<TaskKey> members = new HashSet<>(DispatchState.gangMembers(job, run.task()));
        state.requestStops(
                LossCause.GANG_BROKEN,
                other -> other.number() == run.number() && members.contains(other.task()));
    }

    /** Returns what the runs have shown. */
    RunLearner learner() {
        return learner;
    }

    private static void recordTaskEnd(WorkJob job, TaskKey key, RunEnd end) {
        job.replaceTask(key, job.task(key).withEnd(end, ""));
    }

    /** Ends a job if all its work is done or a step has reached the maximum of failed runs. */
    private void endJobIfFinished(WorkJob job) {
        if (job.phase().ended()) {
            return;
        }
        if (job.discardDoneOccurrences()) {
            endJob(job, JobPhase.SUCCEEDED);
        } else if (job.hasFailures() && maxFailedRunsReached(job)) {
            endJob(job, JobPhase.FAILED);
        }
    }

    /** Ends a job and requests the stop of its remaining runs. */
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
        String jobId = job.submission().id();
        state.requestStops(LossCause.CANCELLED, run -> run.task().job().equals(jobId));
        state.agents().values().forEach(orderIssuer::completeParkedIfDue);
    }

    /** Removes all that was recorded for the steps of a job. */
    void forgetJob(WorkJob job) {
        String jobId = job.submission().id();
        learner.forgetJob(job);
        failedGangRuns.removeIf(run -> run.startsWith(jobId + '.'));
    }

    private boolean maxFailedRunsReached(WorkJob job) {
        // If the queue of the job is no longer configured, the number of failed runs is unlimited.
        int maxFailedRuns =
                state.fleet()
                        .configuration()
                        .queue(job.submission().queue())
                        .map(QueuePolicy::maxFailedRuns)
                        .orElse(Integer.MAX_VALUE);
        List<StepSpec> steps = job.submission().work().steps();
        for (int occurrence : job.dueOccurrences(state.wallClockMillis())) {
            for (int step = 0; step < steps.size(); step++) {
                if (!steps.get(step).endless()
                        && failureCount(job, occurrence, step) >= maxFailedRuns) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Returns the highest failure count of a task of a step, or the sum over all tasks if the step
     * is a gang.
     */
    private static int failureCount(WorkJob job, int occurrence, int step) {
        boolean gang = job.submission().work().steps().get(step).gang();
        int maxFailures = 0;
        int totalFailures = 0;
        for (TaskRecord task : job.tasks(occurrence, step)) {
            maxFailures = Math.max(maxFailures, task.failures());
            totalFailures += task.failures();
        }
        return gang ? totalFailures : maxFailures;
    }
}
