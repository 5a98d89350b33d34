package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.cluster.LogClient;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.job.EpochClaim;
import org.fescueloom.job.GangResult;
import org.fescueloom.job.PlannerStarted;
import org.fescueloom.json.Json;
import org.fescueloom.placement.MoveGang;
import org.fescueloom.placement.Plan;
import org.fescueloom.placement.PreemptGang;
import org.fescueloom.placement.StartGang;

/**
 * Runs planning rounds while this entry is the planner, and claims the planner role when the role
 * is vacant.
 *
 * <p>A new planner first appends a {@link PlannerStarted} record and plans only after this process
 * has applied that record, so that its plans are based on every earlier record. From that record
 * on, the placements of planners with lower epochs have no effect. All rounds run on one thread;
 * calls to workers do not block the thread.
 */
public final class PlannerService implements Service {
    /** The time between two rounds, in milliseconds. */
    private static final long ROUND_INTERVAL_MILLIS = 200L;

    /**
     * The maximum time to wait for starts and stops in progress when the daemon shuts down, in
     * seconds.
     */
    private static final long MAX_DRAIN_SECONDS = 5L;

    private final ScheduledExecutorService executor = Timers.singleThread("planner");

    /** Whether the append of a claim or of a {@link PlannerStarted} record is in progress. */
    private final AtomicBoolean appendInProgress = new AtomicBoolean();

    private final ClusterFacade cluster;
    private final PlannerElection election;
    private final JobLedger ledger;
    private final JobStreamWriter jobLog;
    private final LogClient log;
    private final GangRunner runner;
    private final RoundPlanner rounds;
    private final Metrics metrics;

    /**
     * The epoch of the last {@link PlannerStarted} record that this process appended and applied;
     * -1 if there is none.
     */
    private volatile long plannerStartedEpoch = -1L;

    private volatile boolean draining;

    /**
     * Creates the service.
     *
     * @param cluster gives the addresses of workers, not null
     * @param election decides whether this entry should claim the planner role, not null
     * @param ledger holds the jobs, not null
     * @param jobLog appends job records, not null
     * @param log appends claims, not null
     * @param runner carries out the decisions of plans, not null
     * @param rounds makes the plans, not null
     * @param metrics counts claims and failed rounds, not null
     */
    public PlannerService(
            ClusterFacade cluster,
            PlannerElection election,
            JobLedger ledger,
            JobStreamWriter jobLog,
            LogClient log,
            GangRunner runner,
            RoundPlanner rounds,
            Metrics metrics) {
        this.cluster = Objects.requireNonNull(cluster, "cluster");
        this.election = Objects.requireNonNull(election, "election");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.jobLog = Objects.requireNonNull(jobLog, "jobLog");
        this.log = Objects.requireNonNull(log, "log");
        this.runner = Objects.requireNonNull(runner, "runner");
        this.rounds = Objects.requireNonNull(rounds, "rounds");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void start(String address) {
        executor.scheduleWithFixedDelay(
                this::runRoundSafely,
                ROUND_INTERVAL_MILLIS,
                ROUND_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Stops planning and waits up to {@value #MAX_DRAIN_SECONDS} s for the starts and stops in
     * progress.
     */
    @Override
    public void drain() {
        draining = true;
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_DRAIN_SECONDS);
        while (!runner.jobsInTransition().isEmpty() && System.nanoTime() < deadlineNanos) {
            if (!sleep(ROUND_INTERVAL_MILLIS)) {
                return;
            }
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /**
     * Tells whether this entry is the planner and may plan.
     *
     * @return true if this entry made the valid claim and this process has applied the {@link
     *     PlannerStarted} record for the epoch of the claim
     */
    public boolean isPlanner() {
        return election.heldEpoch().filter(epoch -> epoch == plannerStartedEpoch).isPresent();
    }

    private void runRoundSafely() {
        try {
            runRound();
        } catch (RuntimeException e) {
            metrics.count("planner.round-failures");
            EventLog.event("planning-failed").error(e).error();
        }
    }

    private void runRound() {
        if (draining) {
            return;
        }
        Optional<Long> epoch = election.heldEpoch();
        if (epoch.isEmpty()) {
            claimIfVacant();
        } else if (epoch.get() != plannerStartedEpoch) {
            recordPlannerStarted(epoch.get());
        } else {
            rounds.planIfDue(runner).ifPresent(plan -> carryOut(plan, epoch.get()));
        }
    }

    private void claimIfVacant() {
        if (!election.shouldClaim(Clocks.monotonicMillis())
                || !appendInProgress.compareAndSet(false, true)) {
            return;
        }
        EpochClaim claim = election.createClaim(System.currentTimeMillis());
        EventLog.event("planner-claiming").info();
        log.append(EpochClaim.STREAM, Json.tree(claim))
                .whenComplete(
                        (offset, error) -> {
                            appendInProgress.set(false);
                            metrics.count(
                                    error == null ? "planner.claims" : "planner.claim-failures");
                        });
    }

    private void recordPlannerStarted(long epoch) {
        if (!appendInProgress.compareAndSet(false, true)) {
            return;
        }
        PlannerStarted started = new PlannerStarted(epoch, System.currentTimeMillis());
        jobLog.append("planner-started-" + epoch, started)
                .whenComplete(
                        (effect, error) -> {
                            appendInProgress.set(false);
                            // After a failure the next round appends the record again. The effect
                            // is not checked: once a higher epoch is recorded, placements by
                            // this planner have no effect.
                            if (error == null) {
                                plannerStartedEpoch = epoch;
                                EventLog.event("planner-started").field("epoch", epoch).info();
                            }
                        });
    }

    private void carryOut(Plan plan, long epoch) {
        // Starts use free capacity only, so they do not wait for the stops. A moved gang is only
        // stopped here; a later round places its job again.
        for (PreemptGang preempt : plan.decisions(PreemptGang.class)) {
            runner.stop(preempt.job(), GangResult.PREEMPTED, preempt.description());
        }
        for (MoveGang move : plan.decisions(MoveGang.class)) {
            runner.stop(move.job(), GangResult.MOVED, move.description());
        }
        List<StartGang> starts = plan.decisions(StartGang.class);
        for (StartGang start : starts) {
            runner.start(start, epoch, cluster::findAddress);
        }
    }

    /** Sleeps and returns true, or returns false if the thread was interrupted. */
    private static boolean sleep(long millis) {
        try {
            Thread.sleep(millis);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
