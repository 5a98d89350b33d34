package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.schedule.StepEstimateError;
import org.fescueloom.work.Placement;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.TaskEvent;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskPhase;
import org.fescueloom.work.WorkJob;

/**
 * Learns from runs how fast and reliable upstreams are, how long runs take, and how wrong the
 * estimates of steps are. Confined to the event loop of the dispatcher.
 */
final class RunLearner {
    private final DispatchState state;
    private final RunLengthLearner runLengths;
    private final WorkSeen workSeen;
    private final Map<String, Set<String>> failedAgentsByStep = new HashMap<>();
    private final Map<String, StepEstimateError> estimateErrors = new HashMap<>();

    /**
     * Creates a learner without any runs.
     *
     * @param state the state that the parts of the dispatcher share, not null
     * @param runLengths learns the lengths of ended runs, not null
     */
    RunLearner(DispatchState state, RunLengthLearner runLengths) {
        this.state = state;
        this.runLengths = runLengths;
        this.workSeen = new WorkSeen(runLengths);
    }

    /**
     * Learns from the end of a run: records a failure, the duration of a successful run that
     * started without a checkpoint, or the work of an interrupted one.
     */
    void learnFromEnd(AgentView agent, AssignedRun run, RunEnd end, WorkJob job) {
        long now = state.monotonicMillis();
        StepSpec spec = DispatchState.stepOf(job, run.task());
        boolean runIsCurrent = job.task(run.task()).phase() == TaskPhase.ASSIGNED;
        if (end == RunEnd.FAILED) {
            agent.health().recordFailure(now);
            failedAgentsByStep
                    .computeIfAbsent(stepId(run.task()), id -> new HashSet<>())
                    .add(agent.name());
        } else if (end == RunEnd.DONE
                && runIsCurrent
                && run.startedWithoutCheckpoint()
                && run.listed()
                && isDurationComparable(agent, spec)) {
            double ratio = durationRatio(run, spec, now);
            // The slowness that was known before this run explains its part of the run time.
            runLengths.recordEnd(
                    job.submission(),
                    spec,
                    (now - run.firstListedMillis()) / slownessOfGang(agent, run, job));
            agent.health()
                    .recordSuccess(
                            ratio, estimateError(run.task()), spec.gang() && spec.count() > 1, now);
            state.saveSpeed(agent);
        } else if (end.event() == TaskEvent.INTERRUPTED && run.listed() && !spec.endless()) {
            // Without a new checkpoint, a run may have waited for its gang or stood still.
            long workedUntil = spec.checkpoints() ? run.lastProgressMillis() : now;
            double slowness = Math.max(1.0, agent.health().slowness());
            double workedMillis = (workedUntil - run.firstListedMillis()) / slowness;
            workSeen.recordInterruptedRun(run.task(), spec, (long) workedMillis);
            if (runIsCurrent
                    && run.startedWithoutCheckpoint()
                    && isDurationComparable(agent, spec)) {
                runLengths.recordUnfinished(job.submission(), spec, workedMillis);
            }
        }
    }

    /**
     * Updates the health of an upstream from the pace at which a run saves checkpoints. Skips runs
     * away from their data, which are slow on any upstream.
     */
    void learnFromPace(
            AgentView agent,
            AssignedRun run,
            RunStatus status,
            WorkJob job,
            long polledMillis,
            long now) {
        StepSpec spec = DispatchState.stepOf(job, run.task());
        OptionalDouble pace =
                run.pace()
                        .observe(
                                status.checkpoint(),
                                polledMillis,
                                state.timings().checkpointIntervalMillis());
        if (pace.isPresent() && spec.checkpoints() && isDurationComparable(agent, spec)) {
            agent.health().recordPace(pace.getAsDouble(), spec.gang() && spec.count() > 1, now);
            state.saveSpeed(agent);
            EventLog.event("pace-measured")
                    .field("task", run.task())
                    .field("run", run.number())
                    .field("agent", agent.name())
                    .field("pace", Math.round(100 * pace.getAsDouble()) / 100.0)
                    .field("slowness", Math.round(100 * agent.health().slowness()) / 100.0)
                    .field("epoch", state.epoch())
                    .info();
        }
    }

    /**
     * Updates the health of an upstream from a run that has not ended, even if the run started from
     * a checkpoint or under another dispatcher. Skips gangs, because a member may be waiting for
     * other members.
     */
    void learnFromRunningRun(AgentView agent, AssignedRun run, WorkJob job, long now) {
        StepSpec spec = DispatchState.stepOf(job, run.task());
        if (!spec.gang() && isDurationComparable(agent, spec)) {
            agent.health().recordRunning(durationRatio(run, spec, now), estimateError(run.task()));
        }
    }

    /**
     * Tests whether the duration of a run says something about its upstream: the step has an
     * estimate, is not endless, and does not read its data from another rack.
     */
    private static boolean isDurationComparable(AgentView agent, StepSpec spec) {
        boolean dataNear =
                spec.dataRack().isEmpty() || spec.dataRack().equals(agent.notice().rack());
        return dataNear && !spec.endless() && spec.estimateMillis() > 0;
    }

    /**
     * Returns the duration of a run so far, but at least 1 ms, divided by the estimate of its step.
     */
    private static double durationRatio(AssignedRun run, StepSpec spec, long now) {
        return Math.max(1.0, now - run.firstListedMillis()) / spec.estimateMillis();
    }

    /**
     * Returns the slowness of the slowest upstream of a gang, or of the upstream of a single task.
     */
    private double slownessOfGang(AgentView agent, AssignedRun run, WorkJob job) {
        double slowest = agent.health().measuredSlowness();
        for (TaskKey key : DispatchState.gangMembers(job, run.task())) {
            Placement placement = job.task(key).placement();
            AgentView member = placement == null ? null : state.agents().get(placement.agent());
            if (member != null) {
                slowest = Math.max(slowest, member.health().measuredSlowness());
            }
        }
        return slowest;
    }

    private StepEstimateError estimateError(TaskKey task) {
        return estimateErrors.computeIfAbsent(stepId(task), id -> new StepEstimateError());
    }

    private static String stepId(TaskKey task) {
        return StepIds.stepId(task.job(), task.step());
    }

    /**
     * Returns the names of the agents on which a run of a step has failed, by the step identifier
     * "JOB.STEP".
     */
    Map<String, Set<String>> failedAgentsByStep() {
        return failedAgentsByStep;
    }

    /** Returns the work that interrupted runs have shown. */
    WorkSeen workSeen() {
        return workSeen;
    }

    /** Removes all that was recorded for the steps of a job. */
    void forgetJob(WorkJob job) {
        String jobId = job.submission().id();
        workSeen.forgetJob(jobId);
        for (int step = 0; step < job.submission().work().steps().size(); step++) {
            String stepId = StepIds.stepId(jobId, step);
            failedAgentsByStep.remove(stepId);
            estimateErrors.remove(stepId);
        }
    }
}
