package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.schedule.Assignment;
import org.fescueloom.schedule.RunningUnit;
import org.fescueloom.schedule.SchedulePlan;
import org.fescueloom.schedule.TaskScheduler;
import org.fescueloom.schedule.WaitingUnit;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Placement;
import org.fescueloom.work.RunEnd;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/**
 * Decides for all jobs while it holds the claim of one epoch.
 *
 * <p>Nothing is told to a caller, an agent or an upstream before the record of it is stored. Used
 * on its own thread only; what comes from others is handed to that thread.
 */
final class Dispatcher {
    /** How often leases, due times and old jobs are looked at. */
    static final long TICK_MILLIS = 100;

    /** After this time without an answer the log service is asked again. */
    private static final long PROOF_AGE_MILLIS = 1_500;

    private static final long RETRY_MILLIS = 1_000;

    /** Agents that run find a new dispatcher, and report to it, within a second. */
    private static final long SETTLE_MILLIS = 1_000;

    private final DispatchState state;
    private final OrderIssuer orders;
    private final RunTracker runs;
    private final JobIntake intake;
    private final StuckRunStopper stuckRuns;
    private final WaitTimes waitTimes = new WaitTimes();
    private final ScheduledExecutorService loop;
    private boolean closed;

    /**
     * Holds what a dispatcher starts from.
     *
     * @param epoch the offset behind its claim, where the log of jobs ends; it orders all
     *     dispatchers
     * @param claimed when the claim was sent
     * @param content all that is kept
     * @param intake what the entries have stored and no dispatcher has taken up
     */
    record InitialState(
            long epoch,
            LogServiceContact.ClockReading claimSent,
            JobStore.StoredState content,
            LatestRecords intake) {}

    Dispatcher(
            InitialState start,
            DispatchTimings terms,
            KeyedLog log,
            ScheduledExecutorService loop,
            LogServiceContact contact,
            Supplier<FleetView> fleet,
            Supplier<List<String>> entries,
            Metrics metrics,
            Runnable deposed) {
        this.loop = loop;
        contact.confirm(start.claimSent());
        DurableWriter writer =
                new DurableWriter(
                        log, JobStore.TOPIC, start.epoch(), loop, contact, metrics, deposed);
        state =
                new DispatchState(
                        start.epoch(), start.content(), terms, fleet, contact, writer, metrics);
        orders = new OrderIssuer(state, entries);
        runs = new RunTracker(state, orders);
        intake = new JobIntake(state, runs, log, start.intake(), loop, this::plan);
        stuckRuns = new StuckRunStopper(state);
        state.restoreRuns();
        state.removeOldSpeeds();
    }

    /** Returns for how long the log service has failed this dispatcher, in milliseconds. */
    long logFailingForMillis() {
        return state.writer().logFailingForMillis();
    }

    /** Starts the regular work. */
    void start() {
        intake.start();
        loop.schedule(this::tick, 0, TimeUnit.MILLISECONDS);
    }

    /** Ends all work. */
    void close() {
        if (!closed) {
            closed = true;
            state.writer().close();
            intake.close();
            orders.close();
        }
    }

    /** Tells whether a job is known to be stored. */
    boolean hasStoredJob(String id) {
        return state.storedViews().containsKey(id);
    }

    /** Returns the state of a job as it is stored. */
    CompletableFuture<JobStatus> view(String id) {
        return intake.view(id);
    }

    /** Counts the accepted jobs of a queue that have not begun. */
    long pendingJobs(String queue) {
        long count = 0;
        for (WorkJob job : state.jobs().values()) {
            if (job.submission().queue().equals(queue)
                    && !job.phase().ended()
                    && !job.started()
                    && state.storedViews().containsKey(job.submission().id())) {
                count++;
            }
        }
        return count;
    }

    /** Takes a report of an agent; the future completes when there are orders, or after a while. */
    CompletableFuture<AgentOrders> handleReport(AgentReport report) {
        long now = state.monotonicMillis();
        AgentView agent = state.agent(report.agent());
        if (!agent.accept(report, now)) {
            return CompletableFuture.completedFuture(orders.currentOrders(agent));
        }
        boolean roomFreed = runs.applyReport(agent, report, now);
        state.writer().flush();
        if (roomFreed) {
            plan();
        }
        CompletableFuture<AgentOrders> reply = new CompletableFuture<>();
        orders.park(agent, reply);
        return reply;
    }

    private void tick() {
        if (closed) {
            return;
        }
        try {
            round();
        } catch (RuntimeException e) {
            // A dispatcher that lives and does nothing would not be replaced.
            state.metrics().count("dispatcher.round-failures");
            EventLog.event("internal-failure").field("in", "dispatcher").error(e).error();
        } finally {
            loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void round() {
        long now = state.monotonicMillis();
        state.agents().values().forEach(agent -> checkAgent(agent, now));
        stuckRuns.stopAll(now);
        if (state.contact().ageMillis() > PROOF_AGE_MILLIS) {
            state.writer().checkForOtherWriters();
        }
        intake.removeProcessedIfDue(now);
        forgetOldJobs();
        plan();
        state.writer().flush();
        state.agents().values().forEach(orders::answerIfNeeded);
    }

    private void checkAgent(AgentView agent, long now) {
        if (now - agent.leaseGrantedMillis() > state.timings().latestLeaseExpiryMillis()) {
            runs.endAllRuns(agent, RunEnd.LAPSED);
        } else if (agent.upstreamReachable() && !agent.startAllowed(state.fleet().zonesOut())) {
            // The upstream was looked at: what it has not listed has not started.
            for (AssignedRun run : agent.runs().values()) {
                if (!run.listed()) {
                    run.requestStop();
                }
            }
        }
    }

    private void forgetOldJobs() {
        long before = state.wallClockMillis() - state.timings().endedJobRetentionMillis();
        List<String> old = new ArrayList<>();
        for (WorkJob job : state.jobs().values()) {
            if (job.phase().ended()
                    && job.endedAtMillis() < before
                    && job.assignedTasks().isEmpty()
                    && !intake.hasRecordsToRemove(job.submission().id())) {
                old.add(job.submission().id());
            }
        }
        for (String id : old) {
            runs.forgetJob(state.jobs().remove(id));
            state.storedViews().remove(id);
            state.writer().put(JobStore.progressKey(id), () -> new byte[0]);
            state.writer().put(JobStore.submissionKey(id), () -> new byte[0]);
        }
    }

    private void plan() {
        if (closed || state.fleet().configuration() == null) {
            return;
        }
        long now = state.monotonicMillis();
        waitTimes.beginRound();
        SchedulerInput input =
                new SchedulerInput(
                        state.fleet(),
                        state.agents().values(),
                        state.timings(),
                        runs.failedAgentsByStep(),
                        waitTimes,
                        now,
                        state.wallClockMillis(),
                        state.jobs().values());
        List<WaitingUnit> waiting = new ArrayList<>();
        for (WorkJob job : state.jobs().values()) {
            if (!job.phase().ended() && state.storedViews().containsKey(job.submission().id())) {
                waiting.addAll(input.waitingUnits(job));
            }
        }
        if (waiting.isEmpty()) {
            return;
        }
        SchedulePlan plan =
                TaskScheduler.plan(waiting, mayBeStopped(input, now), input.availableUpstreams());
        plan.starts().forEach(start -> assign(start, now));
        preempt(plan.stops());
        state.writer().flush();
    }

    /** Room that is not reported yet may make a stop needless, so a young dispatcher waits. */
    private Collection<RunningUnit> mayBeStopped(SchedulerInput input, long now) {
        boolean young = now - state.startedMillis() < SETTLE_MILLIS;
        return young ? List.of() : input.preemptibleUnits(state.jobs());
    }

    private void assign(Assignment start, long now) {
        WaitingUnit unit = start.unit();
        WorkJob job = state.jobs().get(unit.job());
        int gangRun = 0;
        for (TaskRecord task : job.tasks(unit.occurrence(), unit.step())) {
            gangRun = Math.max(gangRun, task.run() + 1);
        }
        List<AssignedRun> assigned = new ArrayList<>();
        for (Map.Entry<Integer, String> entry : start.agents().entrySet()) {
            TaskKey key = new TaskKey(unit.job(), unit.occurrence(), unit.step(), entry.getKey());
            TaskRecord task = job.task(key);
            AgentView agent = state.agent(entry.getValue());
            int number = unit.spec().gang() ? gangRun : task.run() + 1;
            job.replaceTask(key, task.withRun(number, new Placement(agent.name(), agent.boot())));
            boolean fresh = task.checkpoint().isEmpty();
            AssignedRun run =
                    new AssignedRun(
                            key, number, agent.boot(), unit.spec().reservedResources(), fresh);
            agent.runs().put(key.toString(), run);
            assigned.add(run);
            noteAssigned(unit, run, agent, now);
        }
        state.saveJob(job);
        Set<String> agents = new HashSet<>(start.agents().values());
        state.writer()
                .whenStored(
                        () -> {
                            assigned.forEach(AssignedRun::markStored);
                            agents.forEach(name -> orders.answerIfNeeded(state.agent(name)));
                        });
    }

    private void noteAssigned(WaitingUnit unit, AssignedRun run, AgentView agent, long now) {
        EventLog.event("run-assigned")
                .field("task", run.task())
                .field("run", run.number())
                .field("agent", agent.name())
                .field("boot", run.boot())
                .field("waited", unit.millisSinceDue())
                .field("priority", unit.priority())
                .field("report-age", now - agent.lastReportMillis())
                .field("slowness", Math.round(100 * agent.health().slowness()) / 100.0)
                .field("config", state.fleet().version())
                .field("epoch", state.epoch())
                .info();
    }

    private void preempt(List<RunningUnit> units) {
        if (units.isEmpty()) {
            return;
        }
        Set<String> groups = new HashSet<>();
        for (RunningUnit unit : units) {
            notePreempted(unit);
            groups.add(unit.id());
        }
        state.requestStops(run -> groups.contains(state.gangOrTaskId(run.task())));
        state.agents().values().forEach(orders::answerIfNeeded);
    }

    private void notePreempted(RunningUnit unit) {
        EventLog.event("unit-preempted")
                .field("unit", unit.id())
                .field("priority", unit.priority())
                .field("loss", Math.round(unit.lostCoreSeconds()))
                .field("epoch", state.epoch())
                .info();
        state.metrics().count("tasks.preempted");
    }

    /** Says that this process does not dispatch; nothing was done. */
    static SchedulerException notDispatcherException() {
        return new SchedulerException(
                FailureType.NOT_DISPATCHER, "another entry dispatches", RETRY_MILLIS);
    }
}
