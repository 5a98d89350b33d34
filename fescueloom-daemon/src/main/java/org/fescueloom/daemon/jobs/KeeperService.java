package org.fescueloom.daemon.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.gang.GangObservation;
import org.fescueloom.gang.KeeperDecision;
import org.fescueloom.gang.KeeperPolicy;
import org.fescueloom.gang.LeaseTimings;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.GangResult;
import org.fescueloom.job.Job;
import org.fescueloom.job.JobState;
import org.fescueloom.wire.WorkerReport;

/**
 * Runs the lease keeper of a process: in periodic rounds, renews the leases of each gang that the
 * process keeps, or stops the gang, as {@link KeeperPolicy} decides.
 *
 * <p>Several processes may keep the same gang, because all actions of a keeper are idempotent.
 * Keepers work without a planner and during an outage of the log service. A round fetches one
 * report from each worker for all gangs on that worker, and renews all leases of a worker with one
 * call.
 */
public final class KeeperService implements Service {
    private static final LeaseTimings TIMINGS = LeaseTimings.DEFAULT;
    private static final Duration RUN_LEASE_TTL = Duration.ofMillis(TIMINGS.ttlMillis());

    /**
     * The remaining time of a lease below which the lease is renewed, in milliseconds. Two more
     * rounds with their calls fit into this time.
     */
    private static final long RENEW_BELOW_MILLIS =
            2 * (TIMINGS.pollMillis() + TIMINGS.callTimeoutMillis());

    private final ScheduledExecutorService executor = Timers.singleThread("keeper");

    /** The results of earlier rounds, by gang attempt. */
    private final Map<String, GangHistory> histories = new ConcurrentHashMap<>();

    /** The gang attempts whose stop or completion by this process is in progress. */
    private final Set<String> endingAttempts = ConcurrentHashMap.newKeySet();

    private final JobLedger ledger;
    private final WorkerClient workers;
    private final GangRunner runner;
    private final Predicate<GangPlaced> selection;
    private final BooleanSupplier viewValid;
    private final Metrics metrics;

    /**
     * Creates the service.
     *
     * @param ledger gives the open gangs, that is, those that are placed and have not ended, not
     *     null
     * @param workers calls the workers, not null
     * @param runner stops gangs and records their ends, not null
     * @param selection selects the gangs that this process keeps, not null
     * @param viewValid tells whether keepers may act on this process's fold of the {@code jobs}
     *     stream: either the fold is recent, or every known entry reports that it cannot reach the
     *     log service, not null
     * @param metrics counts rounds and decisions, not null
     */
    public KeeperService(
            JobLedger ledger,
            WorkerClient workers,
            GangRunner runner,
            Predicate<GangPlaced> selection,
            BooleanSupplier viewValid,
            Metrics metrics) {
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.workers = Objects.requireNonNull(workers, "workers");
        this.runner = Objects.requireNonNull(runner, "runner");
        this.selection = Objects.requireNonNull(selection, "selection");
        this.viewValid = Objects.requireNonNull(viewValid, "viewValid");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void start(String address) {
        executor.execute(this::runRoundSafely);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void runRoundSafely() {
        CompletableFuture<Void> round;
        try {
            round = runRound();
        } catch (RuntimeException e) {
            round = CompletableFuture.failedFuture(e);
        }
        round.whenComplete((done, error) -> scheduleNext(error));
    }

    private void scheduleNext(Throwable error) {
        if (error != null) {
            metrics.count("keeper.round-failures");
            EventLog.event("keeper-round-failed").error(error).error();
        }
        if (!executor.isShutdown()) {
            executor.schedule(this::runRoundSafely, TIMINGS.pollMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private CompletableFuture<Void> runRound() {
        long now = Clocks.monotonicMillis();
        List<GangPlaced> selectedGangs = ledger.openGangs().stream().filter(selection).toList();
        histories
                .keySet()
                .retainAll(
                        selectedGangs.stream()
                                .map(GangPlaced::attempt)
                                .collect(Collectors.toSet()));
        Map<String, String> addressesByWorker = new LinkedHashMap<>();
        for (GangPlaced gang : selectedGangs) {
            gang.members().forEach(m -> addressesByWorker.put(m.worker(), m.address()));
        }
        metrics.count("keeper.rounds");
        return fetchReports(addressesByWorker)
                .thenCompose(reports -> decideAll(selectedGangs, reports, now));
    }

    private CompletableFuture<Map<String, WorkerReport>> fetchReports(
            Map<String, String> addressesByWorker) {
        Map<String, WorkerReport> reports = new ConcurrentHashMap<>();
        List<CompletableFuture<Void>> calls = new ArrayList<>();
        addressesByWorker.forEach(
                (worker, address) ->
                        calls.add(
                                workers.fetchReport(address)
                                        .handle((report, error) -> report)
                                        .thenAccept(report -> addReport(reports, worker, report))));
        return Futures.allOf(calls).thenApply(done -> reports);
    }

    private void addReport(Map<String, WorkerReport> reports, String worker, WorkerReport report) {
        if (report == null) {
            metrics.count("keeper.silent-workers");
        } else if (report.worker().equals(worker)) {
            // Otherwise another worker has taken over the address, and its report is ignored.
            reports.put(worker, report);
        }
    }

    private CompletableFuture<Void> decideAll(
            List<GangPlaced> gangs, Map<String, WorkerReport> reports, long roundStartMillis) {
        long now = Clocks.monotonicMillis();
        Map<String, List<String>> leasesByAddress = new LinkedHashMap<>();
        for (GangPlaced gang : gangs) {
            KeeperDecision decision = decide(gang, reports, roundStartMillis, now);
            metrics.count("keeper.decisions." + decision.action().text());
            switch (decision.action()) {
                case RENEW -> addRenewalsIfDue(gang, reports, leasesByAddress);
                case COMPLETE -> {
                    // Workers keep the results only as long as the leases last.
                    addRenewalsIfDue(gang, reports, leasesByAddress);
                    complete(gang, decision);
                }
                case STOP -> stop(gang, decision);
                // WAIT: renews nothing, so the leases may lapse.
                default -> {}
            }
        }
        List<CompletableFuture<?>> calls = new ArrayList<>();
        leasesByAddress.forEach((address, leases) -> calls.add(renew(address, leases)));
        return Futures.allOf(calls);
    }

    private KeeperDecision decide(
            GangPlaced gang, Map<String, WorkerReport> reports, long roundStartMillis, long now) {
        GangHistory history = histories.computeIfAbsent(gang.attempt(), a -> new GangHistory(now));
        boolean allResponded =
                gang.members().stream().allMatch(m -> reports.containsKey(m.worker()));
        if (allResponded) {
            history.recordAllResponded(roundStartMillis);
        }
        boolean cancelled =
                ledger.job(gang.job()).filter(j -> j.state() == JobState.CANCELLING).isPresent();
        KeeperDecision decision =
                KeeperPolicy.decide(
                        new GangObservation(
                                gang,
                                reports,
                                now - history.firstSeenMillis(),
                                now - history.allRespondedMillis(),
                                history.checkpointMillis(),
                                cancelled,
                                viewValid.getAsBoolean()),
                        TIMINGS);
        history.recordCheckpoint(decision.checkpointMillis());
        return decision;
    }

    /**
     * Adds all leases of a gang to {@code leasesByAddress} if one of them must be renewed in this
     * round, so that all leases of the gang lapse at about the same time.
     */
    private static void addRenewalsIfDue(
            GangPlaced gang,
            Map<String, WorkerReport> reports,
            Map<String, List<String>> leasesByAddress) {
        Set<String> leases =
                gang.members().stream().map(GangMember::lease).collect(Collectors.toSet());
        // Every worker has a report here: the policy renews or completes a gang only if all
        // responded.
        boolean due =
                gang.members().stream()
                        .map(GangMember::worker)
                        .distinct()
                        .flatMap(worker -> reports.get(worker).leases().stream())
                        .filter(lease -> leases.contains(lease.lease()))
                        .anyMatch(lease -> lease.expiresInMillis() < RENEW_BELOW_MILLIS);
        if (due) {
            addRenewals(gang, leasesByAddress);
        }
    }

    private static void addRenewals(GangPlaced gang, Map<String, List<String>> leasesByAddress) {
        for (GangMember member : gang.members()) {
            leasesByAddress
                    .computeIfAbsent(member.address(), a -> new ArrayList<>())
                    .add(member.lease());
        }
    }

    private CompletableFuture<?> renew(String address, List<String> leases) {
        return workers.renewLeases(address, leases, RUN_LEASE_TTL)
                .handle(
                        (result, error) -> {
                            metrics.count(
                                    error == null ? "keeper.renewals" : "keeper.renewal-failures");
                            return result;
                        });
    }

    private void complete(GangPlaced gang, KeeperDecision decision) {
        if (!endingAttempts.add(gang.attempt())) {
            return;
        }
        runner.recordEndThenRelease(gang, decision.result(), decision.reason())
                .whenComplete((recorded, error) -> endingAttempts.remove(gang.attempt()));
    }

    private void stop(GangPlaced gang, KeeperDecision decision) {
        Optional<Job> job = ledger.job(gang.job());
        // The job may have been removed since the round began.
        if (job.isEmpty() || !endingAttempts.add(gang.attempt())) {
            return;
        }
        GangResult result = decision.result();
        EventLog.event("gang-stopped-by-keeper")
                .field("job", gang.job())
                .field("attempt", gang.attempt())
                .field("result", result.text())
                .field("reason", decision.reason())
                .warn();
        runner.stopAndRecordEnd(
                        gang,
                        job.get().spec().checkpointable(),
                        result,
                        decision.reason(),
                        decision.workersAtFault(),
                        decision.checkpointMillis())
                .whenComplete((recorded, error) -> endingAttempts.remove(gang.attempt()));
    }

    /** Holds the results of earlier rounds for one gang attempt. */
    private static final class GangHistory {
        /** The monotonic time at which the reports of the first round with the gang had arrived. */
        private final long firstSeenMillis;

        /**
         * The monotonic time at which the last round began in which all workers of the gang
         * responded; {@code firstSeenMillis} if there was none.
         */
        private long allRespondedMillis;

        /** The part of the run that the checkpoints of all members cover, in milliseconds. */
        private long checkpointMillis;

        GangHistory(long nowMillis) {
            firstSeenMillis = nowMillis;
            allRespondedMillis = nowMillis;
        }

        synchronized void recordAllResponded(long roundStartMillis) {
            allRespondedMillis = Math.max(allRespondedMillis, roundStartMillis);
        }

        synchronized void recordCheckpoint(long savedMillis) {
            checkpointMillis = Math.max(checkpointMillis, savedMillis);
        }

        long firstSeenMillis() {
            return firstSeenMillis;
        }

        synchronized long allRespondedMillis() {
            return allRespondedMillis;
        }

        synchronized long checkpointMillis() {
            return checkpointMillis;
        }
    }
}
