package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.WorkJob;

/** Stops runs that make no progress, are overdue, or will not end before their upstream leaves. */
final class StuckRunStopper {
    /**
     * The first run of a task without checkpoints is overdue after this multiple of its estimate,
     * adjusted to the slowness of its upstream, plus {@link #OVERDUE_MARGIN_MILLIS}. Estimates are
     * wrong by a factor of up to 1.9, and for single tasks of a step by twice that factor.
     */
    private static final double OVERDUE_FACTOR = 5.0;

    /**
     * The time that is added to the multiple of the estimate. Estimates of short tasks are
     * unreliable: some tasks with an estimate of 0.3 s take 5 s.
     */
    private static final long OVERDUE_MARGIN_MILLIS = 8_000;

    /**
     * A run with checkpoints is stopped once it has saved none for this many times the work between
     * two checkpoints, plus {@link #POLL_MARGIN_MILLIS}: away from its data, or on a slow upstream,
     * it may work at a quarter of full speed.
     */
    private static final int NO_PROGRESS_INTERVALS = 4;

    /** Agents observe the checkpoints of a run up to this time late. */
    private static final long POLL_MARGIN_MILLIS = 500;

    /**
     * A run is overdue by its learned length only if fewer than one in a hundred runs of its kind
     * take as long: three in a hundred take seven times as long as the others, and starting them
     * again only takes longer.
     */
    private static final double LONGEST_PROBABILITY = 0.99;

    private static final double MEDIAN = 0.5;

    /**
     * The time from a stop order until the upstream lists the end of the run. A run must be stopped
     * at least this long before the upstream leaves.
     */
    private static final long LEAVE_MARGIN_MILLIS = 500;

    private final DispatchState state;
    private final RunLengthLearner runLengths;

    StuckRunStopper(DispatchState state, RunLengthLearner runLengths) {
        this.state = state;
        this.runLengths = runLengths;
    }

    /**
     * Requests the stop of all stuck runs and of the other runs of their gangs. The loss of a whole
     * gang counts under the reason of the run that was found first.
     */
    void stopStuckRuns(long now) {
        Map<String, StopReason> reasons = new HashMap<>();
        for (AgentView agent : state.agents().values()) {
            for (AssignedRun run : agent.runs().values()) {
                StopReason reason = stopReason(agent, run, now);
                if (reason != null) {
                    reasons.putIfAbsent(state.gangOrTaskId(run.task()), reason);
                    recordStop(agent, run, reason, now);
                }
            }
        }
        for (StopReason reason : Set.copyOf(reasons.values())) {
            state.requestStops(
                    reason.cause(), run -> reasons.get(state.gangOrTaskId(run.task())) == reason);
        }
    }

    /** Returns the reason to stop a run; null if there is none. */
    private StopReason stopReason(AgentView agent, AssignedRun run, long now) {
        WorkJob job = state.jobs().get(run.task().job());
        if (job == null || run.stopRequested() || !run.listed()) {
            return null;
        }
        StepSpec spec = DispatchState.stepOf(job, run.task());
        if (spec.endless()) {
            return null;
        }
        long elapsed = now - run.firstListedMillis();
        if (spec.checkpoints()) {
            if (now - run.lastProgressMillis() > noProgressMillis()) {
                return StopReason.NO_PROGRESS;
            }
        } else if (elapsed > overdueMillis(agent, spec) * run.number()
                && newRunEndsEarlier(agent, job, spec, elapsed)) {
            return StopReason.OVERDUE;
        }
        return upstreamLeavesTooSoon(agent, job, run, spec, now)
                ? StopReason.UPSTREAM_LEAVES
                : null;
    }

    private long noProgressMillis() {
        return NO_PROGRESS_INTERVALS * state.timings().checkpointIntervalMillis()
                + POLL_MARGIN_MILLIS;
    }

    /**
     * Tests whether, by the learned lengths, a new run of a task on an average upstream is expected
     * to end before the present one. Without learned lengths the answer is always yes.
     */
    private boolean newRunEndsEarlier(
            AgentView agent, WorkJob job, StepSpec spec, long elapsedMillis) {
        double slowness = Math.max(1.0, agent.health().measuredSlowness());
        double worked = elapsedMillis / slowness;
        return runLengths
                .forecast(job.submission(), spec)
                .map(
                        forecast ->
                                worked > forecast.quantileMillis(LONGEST_PROBABILITY)
                                        && slowness * forecast.meanRemainingMillis(worked)
                                                > forecast.meanMillis())
                .orElse(true);
    }

    /**
     * Returns the time limit of the first run of a task; each further run is allowed the same time
     * in addition.
     */
    private static double overdueMillis(AgentView agent, StepSpec spec) {
        double slowness = Math.max(1.0, agent.health().measuredSlowness());
        return OVERDUE_FACTOR * slowness * spec.estimateMillis() + OVERDUE_MARGIN_MILLIS;
    }

    /** Tests whether a draining upstream leaves before, or too soon after, a run should end. */
    private boolean upstreamLeavesTooSoon(
            AgentView agent, WorkJob job, AssignedRun run, StepSpec spec, long now) {
        if (agent.notice() == null || agent.notice().state() != UpstreamState.DRAINING) {
            return false;
        }
        long leavesInMillis = agent.notice().leavesInMillis() - (now - agent.lastReportMillis());
        return remainingMillis(agent, job, run, spec, now) > leavesInMillis - LEAVE_MARGIN_MILLIS;
    }

    /** Returns the expected remaining time of a run; it may be negative by an estimate. */
    private double remainingMillis(
            AgentView agent, WorkJob job, AssignedRun run, StepSpec spec, long now) {
        long elapsed = now - run.firstListedMillis();
        double slowness = agent.health().slowness();
        return runLengths
                .forecast(job.submission(), spec)
                // The work that a checkpoint has saved is not known.
                .filter(forecast -> run.startedWithoutCheckpoint())
                .map(forecast -> slowness * forecast.remainingMillis(elapsed / slowness, MEDIAN))
                .orElse(slowness * spec.estimateMillis() - elapsed);
    }

    private void recordStop(AgentView agent, AssignedRun run, StopReason reason, long now) {
        if (reason.stall()) {
            agent.health().recordStall(now);
        }
        state.metrics().count("tasks.stopped." + reason.text());
        EventLog.event("run-stopped")
                .field("task", run.task())
                .field("run", run.number())
                .field("agent", agent.name())
                .field("reason", reason.text())
                .field("elapsed", now - run.firstListedMillis())
                .field("epoch", state.epoch())
                .info();
    }
}
