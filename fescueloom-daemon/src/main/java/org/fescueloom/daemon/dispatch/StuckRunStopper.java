package org.fescueloom.daemon.dispatch;

import java.util.HashSet;
import java.util.Set;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.fleet.UpstreamState;
import org.fescueloom.work.StepSpec;
import org.fescueloom.work.WorkJob;

/** Stops runs that stand still, take far too long, or will not end before their upstream leaves. */
final class StuckRunStopper {
    /** Estimates are off by up to 1.9 times, single tasks of a step by twice that. */
    private static final double OVERDUE_FACTOR = 5.0;

    /** Estimates of short tasks say little: some of 0.3 s take 5 s. */
    private static final long OVERDUE_MARGIN_MILLIS = 8_000;

    /** A run that checkpoints does so with each second of its work, at a quarter of full speed. */
    private static final long NO_PROGRESS_MILLIS = 4_500;

    /** What a stop takes until its end is listed, before an upstream leaves. */
    private static final long LEAVE_MARGIN_MILLIS = 500;

    private final DispatchState state;

    StuckRunStopper(DispatchState state) {
        this.state = state;
    }

    void stopAll(long now) {
        Set<String> groups = new HashSet<>();
        for (AgentView agent : state.agents().values()) {
            for (AssignedRun run : agent.runs().values()) {
                String reason = reason(agent, run, now);
                if (reason != null) {
                    groups.add(state.gangOrTaskId(run.task()));
                    note(agent, run, reason, now);
                }
            }
        }
        if (!groups.isEmpty()) {
            state.requestStops(run -> groups.contains(state.gangOrTaskId(run.task())));
        }
    }

    /** Returns why a run is to be stopped, or null. */
    private String reason(AgentView agent, AssignedRun run, long now) {
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
            if (now - run.lastProgressMillis() > NO_PROGRESS_MILLIS) {
                return "no-progress";
            }
        } else if (elapsed > overdueMillis(agent, spec) * run.number()) {
            return "overdue";
        }
        return leavesTooSoon(agent, spec, elapsed, now) ? "upstream-leaves" : null;
    }

    /** Returns what a first run may take; each further run gets as much time again. */
    private static double overdueMillis(AgentView agent, StepSpec spec) {
        double slowness = Math.max(1.0, agent.health().measuredSlowness());
        return OVERDUE_FACTOR * slowness * spec.estimateMillis() + OVERDUE_MARGIN_MILLIS;
    }

    private static boolean leavesTooSoon(AgentView agent, StepSpec spec, long elapsed, long now) {
        if (agent.notice() == null || agent.notice().state() != UpstreamState.DRAINING) {
            return false;
        }
        long left = agent.notice().leavesInMillis() - (now - agent.lastReportMillis());
        double expected = spec.estimateMillis() * agent.health().slowness() - elapsed;
        return expected > left - LEAVE_MARGIN_MILLIS;
    }

    private void note(AgentView agent, AssignedRun run, String reason, long now) {
        if (!reason.equals("upstream-leaves")) {
            agent.health().recordStall(now);
        }
        state.metrics().count("tasks.stopped." + reason);
        EventLog.event("run-stopped")
                .field("task", run.task())
                .field("run", run.number())
                .field("agent", agent.name())
                .field("reason", reason)
                .field("elapsed", now - run.firstListedMillis())
                .field("epoch", state.epoch())
                .info();
    }
}
