package org.fescueloom.daemon.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
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
import org.fescueloom.loss.LossCause;
import org.fescueloom.schedule.Assignment;
import org.fescueloom.schedule.FleetCoverage;
import org.fescueloom.schedule.RoundContext;
import org.fescueloom.schedule.RunningUnit;
import org.fescueloom.schedule.SchedulePlan;
import org.fescueloom.schedule.TaskScheduler;
import org.fescueloom.schedule.UpstreamCapacity;
import org.fescueloom.schedule.WaitingUnit;
import org.fescueloom.work.JobPhase;
import org.fescueloom.work.JobStatus;
import org.fescueloom.work.Placement;
import org.fescueloom.work.TaskKey;
import org.fescueloom.work.TaskRecord;
import org.fescueloom.work.WorkJob;

/**
 * Schedules the tasks of all jobs while this process holds the claim of one epoch.
 *
 * <p>No decision is sent to a caller, an agent or an upstream before the record of the decision is
 * stored in the job log. Confined to its event loop; other threads must submit their calls to that
 * loop.
 */
final class Dispatcher {
    /**
     * The interval between rounds, which check leases and due times, remove old jobs and schedule
     * tasks.
     */
    static final long TICK_MILLIS = 100;

    /**
     * If the last confirmation of the claim is older, the dispatcher asks the log service for a new
     * one.
     */
    private static final long CONFIRM_CLAIM_AFTER_MILLIS = 1_500;

    /**
     * The time after which a caller may repeat a call that was refused with {@code NOT_DISPATCHER}.
     */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /**
     * Running agents find a new dispatcher, and report to it, within this time after a takeover. No
     * run is preempted before, and agents that have not reported are expected until then.
     */
    private static final long TAKEOVER_MILLIS = 1_000;

    private final DispatchState state;
    private final OrderIssuer orderIssuer;
    private final RunEndRecorder runEnds;
    private final RunLengthLearner runLengths;
    private final RunTracker runTracker;
    private final JobIntake intake;
    private final Set<String> storedCancellations;
    private final StuckRunStopper stuckRunStopper;
    private final WaitTimes waitTimes = new WaitTimes();
    private final RoundSelection roundSelection = new RoundSelection();
    private final ScheduledExecutorService loop;

    /** The reservations of the last round, by the identifier of the waiting unit. */
    private Map<String, List<String>> reservations = Map.of();

    /** When this dispatcher first found a job ended, on the monotonic clock, by job ID. */
    private final Map<String, Long> endSeenMillis = new HashMap<>();

    private boolean roundRequested;
    private boolean closed;

    /**
     * Holds the state with which a dispatcher starts.
     *
     * @param epoch the offset after the claim of the dispatcher, which is the end of the job log;
     *     later dispatchers have higher epochs
     * @param claimSent when the claim was sent
     * @param storedState the jobs and upstream speeds that are stored in the job log
     */
    record InitialState(
            long epoch,
            LogServiceContact.ClockReading claimSent,
            JobStore.StoredState storedState) {}

    Dispatcher(
            InitialState initialState,
            DispatchTimings timings,
            LogAccess log,
            ScheduledExecutorService loop,
            LogServiceContact contact,
            Supplier<FleetView> fleet,
            Supplier<List<String>> entries,
            Metrics metrics,
            Runnable onReplaced) {
        this.loop = loop;
        contact.confirm(initialState.claimSent());
        DurableWriter writer =
                new DurableWriter(
                        log.service(),
                        JobStore.LOG,
                        initialState.epoch(),
                        loop,
                        contact,
                        metrics,
                        new DurableWriter.Listener() {
                            @Override
                            public void onReplaced() {
                                onReplaced.run();
                            }

                            @Override
                            public void onRefused(String key) {
                                failJobOfRecord(key);
                            }
                        });
        state =
                new DispatchState(
                        initialState.epoch(),
                        initialState.storedState(),
                        timings,
                        fleet,
                        contact,
                        writer,
                        metrics);
        orderIssuer = new OrderIssuer(state, entries);
        runEnds = new RunEndRecorder(state);
        runLengths = new RunLengthLearner(state, initialState.storedState().runLengths());
        runTracker = new RunTracker(state, orderIssuer, runEnds, runLengths);
        intake = new JobIntake(state, runTracker, log, loop, this::requestScheduling);
        stuckRunStopper = new StuckRunStopper(state, runLengths);
        storedCancellations = initialState.storedState().cancellations();
        state.restoreRuns();
        state.removeOldSpeeds();
    }

    /** Returns for how long the appends of this dispatcher have failed, in milliseconds. */
    long logFailingForMillis() {
        return state.writer().logFailingForMillis();
    }

    /** Starts the admission of jobs and the scheduling rounds. */
    void start() {
        intake.start(storedCancellations);
        loop.schedule(this::tick, 0, TimeUnit.MILLISECONDS);
    }

    /**
     * Ends the work of this dispatcher; its runs continue. Reports that wait for orders fail with
     * {@code NOT_DISPATCHER}.
     */
    void close() {
        if (!closed) {
            closed = true;
            state.writer().close();
            intake.close();
            orderIssuer.close();
        }
    }

    /**
     * Fails the job whose progress cannot be stored. Its runs that were assigned since are stopped;
     * none of them was ordered to start.
     */
    private void failJobOfRecord(String key) {
        WorkJob job = state.jobs().get(JobStore.jobOfProgress(key));
        if (job != null && !job.phase().ended()) {
            runTracker.endJob(job, JobPhase.FAILED);
            state.saveJob(job);
        }
    }

    /** Leaves time between the appends of this dispatcher, in which another entry can claim. */
    void yieldToClaims() {
        state.writer().yieldToClaims();
    }

    /** Tests whether a job is known to be stored in the job log. */
    boolean hasStoredJob(String id) {
        return state.storedStatuses().containsKey(id);
    }

    /** Returns the stored status of a job. */
    CompletableFuture<JobStatus> status(String id) {
        return intake.status(id);
    }

    /** Counts the stored jobs of a queue that have neither started nor ended. */
    long pendingJobs(String queue) {
        long count = 0;
        for (WorkJob job : state.jobs().values()) {
            if (job.submission().queue().equals(queue)
                    && !job.phase().ended()
                    && !job.started()
                    && state.storedStatuses().containsKey(job.submission().id())) {
                count++;
            }
        }
        return count;
    }

    /**
     * Handles the report of an agent. The future completes as soon as there are orders, or else
     * after the maximum waiting time of a report.
     */
    CompletableFuture<AgentOrders> handleReport(AgentReport report) {
        long now = state.monotonicMillis();
        AgentView agent = state.agent(report.agent());
        if (agent.fromEarlierProcess(report)) {
            state.metrics().count("reports.of-earlier-processes");
            return CompletableFuture.completedFuture(orderIssuer.noOrders());
        }
        if (agent.recordUnconfirmedProcess(report, state.epoch())) {
            // The process learns the epoch from the response, and reports again at once.
            state.metrics().count("reports.of-unconfirmed-processes");
            return CompletableFuture.completedFuture(orderIssuer.noOrders());
        }
        if (!agent.accept(report, now)) {
            // The report is a repetition, or a newer one has overtaken it.
            return CompletableFuture.completedFuture(orderIssuer.currentOrders(agent));
        }
        boolean runsEnded = runTracker.applyReport(agent, report, now);
        state.writer().flush();
        if (runsEnded) {
            requestScheduling();
        }
        CompletableFuture<AgentOrders> reply = new CompletableFuture<>();
        orderIssuer.park(agent, reply);
        return reply;
    }

    /**
     * Schedules tasks once the events that already wait in the event loop have been handled. The
     * members of a gang end together on many upstreams; one round serves all their reports.
     */
    private void requestScheduling() {
        if (!roundRequested && !closed) {
            roundRequested = true;
            loop.execute(this::scheduleRequested);
        }
    }

    private void scheduleRequested() {
        roundRequested = false;
        try {
            scheduleTasks();
        } catch (RuntimeException e) {
            recordRoundFailure(e);
        }
    }

    private static boolean isUrgent(WaitingUnit unit) {
        return unit.priority() == TaskScheduler.PREEMPTING_PRIORITY;
    }

    private void recordRoundFailure(RuntimeException error) {
        state.metrics().count("dispatcher.round-failures");
        EventLog.event("internal-failure").field("in", "dispatcher").error(error).error();
    }

    private void tick() {
        if (closed) {
            return;
        }
        try {
            runRound();
        } catch (RuntimeException e) {
            // The rounds must go on: other entries do not replace a dispatcher that responds but
            // does nothing.
            recordRoundFailure(e);
        } finally {
            loop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void runRound() {
        long now = state.monotonicMillis();
        state.agents().values().forEach(agent -> checkAgent(agent, now));
        stuckRunStopper.stopStuckRuns(now);
        if (state.contact().ageMillis() > CONFIRM_CLAIM_AFTER_MILLIS) {
            state.writer().checkForOtherWriters();
        }
        intake.removeProcessedIfDue(now);
        removeOldJobs();
        runEnds.takeLossEvent(now).ifPresent(EventLog::info);
        runLengths.storeIfDue(now);
        scheduleTasks();
        state.writer().flush();
        state.agents().values().forEach(orderIssuer::completeParkedIfDue);
    }

    private void checkAgent(AgentView agent, long now) {
        if (now - agent.leaseGrantedMillis() > state.timings().latestLeaseExpiryMillis()) {
            runTracker.endRunsWithExpiredLease(agent);
        } else if (agent.upstreamReachable() && !agent.startAllowed(state.fleet().zonesOut())) {
            // Tasks may no longer start on this upstream. A run that no poll has listed has not
            // started, and the stop makes sure that the run never starts.
            for (AssignedRun run : agent.runs().values()) {
                if (!run.listed()) {
                    run.requestStop(LossCause.UPSTREAM_LEAVING);
                }
            }
        }
    }

    private void removeOldJobs() {
        long retentionMillis = state.timings().endedJobRetentionMillis();
        long endedBeforeMillis = state.wallClockMillis() - retentionMillis;
        long now = state.monotonicMillis();
        List<String> oldJobs = new ArrayList<>();
        // A job is kept while its submission may be in the intake log, because the submission of an
        // unknown job is admitted.
        for (WorkJob job : state.jobs().values()) {
            if (!job.phase().ended()) {
                continue;
            }
            // The clock may have been set forward, or be ahead of that of the dispatcher before.
            long seenMillis = endSeenMillis.computeIfAbsent(job.submission().id(), id -> now);
            if (now - seenMillis >= retentionMillis
                    && job.endedAtMillis() < endedBeforeMillis
                    && job.assignedTasks().isEmpty()
                    && intake.mayForget(job.submission().id())) {
                oldJobs.add(job.submission().id());
            }
        }
        for (String id : oldJobs) {
            WorkJob job = state.jobs().remove(id);
            endSeenMillis.remove(id);
            runTracker.forgetJob(job);
            roundSelection.forgetJob(id);
            state.storedStatuses().remove(id);
            job.takeObsoleteBlocks().forEach(block -> state.deleteBlock(id, block));
            // Empty values are tombstones, which delete the keys.
            state.writer().put(JobStore.progressKey(id), () -> new byte[0]);
            state.writer().put(JobStore.submissionKey(id), () -> new byte[0]);
        }
    }

    private void scheduleTasks() {
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
                        runTracker.learner().failedAgentsByStep(),
                        runTracker.learner().workSeen(),
                        waitTimes,
                        now,
                        state.wallClockMillis(),
                        state.jobs().values());
        List<WaitingUnit> waiting = input.waitingUnits(state.activeJobs(), roundSelection);
        state.metrics().registry().histogram("dispatcher.round-units").update(waiting.size());
        if (waiting.isEmpty()) {
            reservations = Map.of();
            return;
        }
        Collection<RunningUnit> preemptible =
                waiting.stream().anyMatch(Dispatcher::isUrgent)
                        ? preemptibleUnits(input, now)
                        : List.of();
        List<UpstreamCapacity> upstreams = input.availableUpstreams();
        FleetCensus census = input.census(state.expectedAgents());
        FleetCoverage coverage =
                recentlyTookOver(now) && census.unheard() > 0
                        ? FleetCoverage.PARTIAL
                        : FleetCoverage.COMPLETE;
        SchedulePlan plan =
                TaskScheduler.plan(
                        waiting, preemptible, upstreams, new RoundContext(coverage, reservations));
        PlacementLog placementLog = new PlacementLog(state, census, upstreams);
        plan.starts().forEach(start -> placementLog.logStart(start, now));
        placementLog.logNewReservations(reservations, plan.reservations());
        reservations = plan.reservations();
        plan.starts().forEach(start -> assign(start, now));
        preempt(plan.stops());
        state.writer().flush();
        if (roundSelection.leavesOut() && 2 * plan.starts().size() >= waiting.size()) {
            // Steps that this round has left out may find room too.
            requestScheduling();
        }
    }

    /**
     * Returns the units that may be preempted. Returns none shortly after a takeover, because
     * agents that have not reported yet may have free resources.
     */
    private Collection<RunningUnit> preemptibleUnits(SchedulerInput input, long now) {
        return recentlyTookOver(now) ? List.of() : input.preemptibleUnits(state.jobs());
    }

    private boolean recentlyTookOver(long now) {
        return now - state.startedMillis() < TAKEOVER_MILLIS;
    }

    private void assign(Assignment assignment, long now) {
        WaitingUnit unit = assignment.unit();
        WorkJob job = state.jobs().get(unit.job());
        // All tasks of a gang get the same run number, which none of them has had before.
        int gangRunNumber = 0;
        for (TaskRecord task : job.tasks(unit.occurrence(), unit.step())) {
            gangRunNumber = Math.max(gangRunNumber, task.run() + 1);
        }
        List<AssignedRun> assigned = new ArrayList<>();
        for (Map.Entry<Integer, String> agentByIndex : assignment.agents().entrySet()) {
            TaskKey key =
                    new TaskKey(unit.job(), unit.occurrence(), unit.step(), agentByIndex.getKey());
            TaskRecord task = job.task(key);
            AgentView agent = state.agent(agentByIndex.getValue());
            if (agent.fullOfRuns() && !unit.spec().gang()) {
                state.metrics().count("tasks.refused-by-run-limit");
                continue;
            }
            int runNumber = unit.spec().gang() ? gangRunNumber : task.run() + 1;
            job.replaceTask(
                    key, task.withRun(runNumber, new Placement(agent.name(), agent.boot())));
            boolean withoutCheckpoint = task.checkpoint().isEmpty();
            AssignedRun run =
                    new AssignedRun(key, runNumber, agent.boot(), unit.spec(), withoutCheckpoint);
            agent.runs().put(key.toString(), run);
            assigned.add(run);
            logAssigned(unit, run, agent, now);
        }
        state.saveJob(job);
        Set<String> agentNames = new HashSet<>(assignment.agents().values());
        state.writer()
                .whenStored(
                        () -> {
                            assigned.forEach(AssignedRun::markStored);
                            agentNames.forEach(
                                    name -> orderIssuer.completeParkedIfDue(state.agent(name)));
                        });
    }

    private void logAssigned(WaitingUnit unit, AssignedRun run, AgentView agent, long now) {
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
        Set<String> unitIds = new HashSet<>();
        for (RunningUnit unit : units) {
            logPreempted(unit);
            unitIds.add(unit.id());
        }
        state.requestStops(
                LossCause.PREEMPTED, run -> unitIds.contains(state.gangOrTaskId(run.task())));
        state.agents().values().forEach(orderIssuer::completeParkedIfDue);
    }

    private void logPreempted(RunningUnit unit) {
        EventLog.event("unit-preempted")
                .field("unit", unit.id())
                .field("priority", unit.priority())
                .field("loss", Math.round(unit.lostCoreSeconds()))
                .field("epoch", state.epoch())
                .info();
        state.metrics().count("tasks.preempted");
    }

    /**
     * Returns the exception for a call to a process that is not the dispatcher. The exception tells
     * the caller that nothing was done.
     */
    static SchedulerException notDispatcherException() {
        return new SchedulerException(
                FailureType.NOT_DISPATCHER, "this entry is not the dispatcher", RETRY_AFTER_MILLIS);
    }
}
