package org.fescueloom.daemon.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.gang.LeaseTimings;
import org.fescueloom.job.GangAttempt;
import org.fescueloom.job.GangEnded;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.GangResult;
import org.fescueloom.job.Job;
import org.fescueloom.job.RecordEffect;
import org.fescueloom.placement.StartGang;
import org.fescueloom.placement.TaskPlacement;

/**
 * Carries out the decisions of plans and of lease keepers: starts and stops gangs, and records the
 * end of each gang attempt in the {@code jobs} stream. Safe for use by several threads.
 */
public final class GangRunner {
    /** The identifiers of the jobs whose gangs this process starts or stops now. */
    private final Set<String> jobsInTransition = ConcurrentHashMap.newKeySet();

    private final Map<String, GangPlaced> startingGangs = new ConcurrentHashMap<>();
    private final Map<String, StartBackoff> startBackoffs = new ConcurrentHashMap<>();
    private final AtomicLong attemptSequence = new AtomicLong();
    private final GangStarter starter;
    private final GangStopper stopper;
    private final JobStreamWriter log;
    private final JobLedger ledger;
    private final Metrics metrics;
    private final LongSupplier clock;

    /**
     * Creates a runner.
     *
     * @param starter starts gangs, not null
     * @param stopper stops gangs, not null
     * @param log appends the ends of gang attempts to the {@code jobs} stream, not null
     * @param ledger holds the jobs with their recorded attempts, not null
     * @param metrics counts starts and stops, not null
     * @param clock gives the current time in milliseconds since the epoch, not null
     */
    public GangRunner(
            GangStarter starter,
            GangStopper stopper,
            JobStreamWriter log,
            JobLedger ledger,
            Metrics metrics,
            LongSupplier clock) {
        this.starter = Objects.requireNonNull(starter, "starter");
        this.stopper = Objects.requireNonNull(stopper, "stopper");
        this.log = Objects.requireNonNull(log, "log");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /**
     * Returns the jobs whose gangs this process is starting or stopping. Stops that lease keepers
     * request are not included.
     *
     * @return the identifiers of the jobs, never null
     */
    public Set<String> jobsInTransition() {
        return Set.copyOf(jobsInTransition);
    }

    /**
     * Returns the gangs that this process is starting, whether or not the placement is recorded
     * yet.
     *
     * @return the placements by the identifier of the job, never null
     */
    public Map<String, GangPlaced> startingGangs() {
        return Map.copyOf(startingGangs);
    }

    /**
     * Returns the backoffs of the jobs whose last start failed.
     *
     * @return the backoffs by the identifier of the job, never null
     */
    public Map<String, StartBackoff> startBackoffs() {
        return Map.copyOf(startBackoffs);
    }

    /**
     * Starts a gang. Does nothing if the job is unknown, if its gang is being started or stopped,
     * or if the address of a worker is unknown.
     *
     * @param decision the job and the placement of its tasks, not null
     * @param epoch the epoch of the planner that made the decision
     * @param addressOfWorker gives the address of the worker with an identifier, not null
     * @return a future that never fails; its value is true if every task of the gang was started
     */
    public CompletableFuture<Boolean> start(
            StartGang decision, long epoch, Function<String, Optional<String>> addressOfWorker) {
        Optional<Job> job = ledger.job(decision.job());
        if (job.isEmpty() || !jobsInTransition.add(decision.job())) {
            return CompletableFuture.completedFuture(false);
        }
        Optional<GangPlaced> gang = createPlacement(job.get(), decision, epoch, addressOfWorker);
        if (gang.isEmpty()) {
            jobsInTransition.remove(decision.job());
            return CompletableFuture.completedFuture(false);
        }
        startingGangs.put(decision.job(), gang.get());
        return starter.start(gang.get(), job.get().spec())
                .handle((done, error) -> error)
                .thenCompose(error -> handleStartResult(gang.get(), error))
                .whenComplete((started, error) -> clearStartState(decision.job()));
    }

    /**
     * Stops the gang of a job and records the end of the gang attempt. If the job supports
     * checkpoints, the tasks save their progress first. Does nothing if the job is unknown, if it
     * has no gang, or if its gang is being started or stopped.
     *
     * @param jobId the identifier of the job, not null
     * @param result the result of the gang attempt, not null
     * @param reason a sentence with the reason, not null
     * @return a future that never fails; its value is true if the record of the end was applied
     */
    public CompletableFuture<Boolean> stop(String jobId, GangResult result, String reason) {
        Optional<Job> job = ledger.job(jobId);
        Optional<GangPlaced> gang = job.flatMap(Job::currentAttempt).map(GangAttempt::placed);
        if (gang.isEmpty() || !jobsInTransition.add(jobId)) {
            return CompletableFuture.completedFuture(false);
        }
        metrics.count("gangs.stopped." + result.text());
        EventLog.event("gang-stopping").field("job", jobId).field("reason", reason).info();
        boolean checkpointable = job.get().spec().checkpointable();
        return stopAndRecordEnd(gang.get(), checkpointable, result, reason, List.of(), 0L)
                .whenComplete((recorded, error) -> jobsInTransition.remove(jobId));
    }

    /**
     * Stops a gang and records the end of the gang attempt. If the gang supports checkpoints, the
     * tasks save their progress first.
     *
     * @param gang the placed gang, not null
     * @param checkpointable whether the tasks can save their progress
     * @param result the result of the gang attempt, not null
     * @param reason a sentence with the reason, not null
     * @param workersAtFault the identifiers of the workers on which tasks failed, not null
     * @param checkpointMillis the part of the run that the known checkpoints of all members cover,
     *     in milliseconds
     * @return a future that never fails; its value is true if the record of the end was applied
     */
    public CompletableFuture<Boolean> stopAndRecordEnd(
            GangPlaced gang,
            boolean checkpointable,
            GangResult result,
            String reason,
            List<String> workersAtFault,
            long checkpointMillis) {
        CompletableFuture<Long> saved =
                checkpointable ? stopper.checkpoint(gang) : CompletableFuture.completedFuture(0L);
        return saved.thenCompose(
                savedMillis ->
                        releaseThenRecordEnd(
                                gang,
                                result,
                                reason,
                                workersAtFault,
                                Math.max(savedMillis, checkpointMillis)));
    }

    /**
     * Records the end of a gang attempt and releases its leases afterwards, so that the workers
     * keep the result until the log service has stored the record. The leases are kept if the
     * attempt is still the current one of its job, because then the record was not applied.
     *
     * @param gang the placed gang, not null
     * @param result the result of the gang attempt, not null
     * @param reason a sentence with the reason, not null
     * @return a future that never fails; its value is true if the record of the end was applied
     */
    public CompletableFuture<Boolean> recordEndThenRelease(
            GangPlaced gang, GangResult result, String reason) {
        return recordEnd(gang, result, reason, List.of(), 0L)
                .thenCompose(
                        recorded ->
                                isCurrentAttempt(gang)
                                        ? CompletableFuture.completedFuture(false)
                                        : stopper.release(gang).thenApply(done -> recorded));
    }

    /**
     * Releases the leases of a gang and records the end of the gang attempt. If a worker did not
     * confirm the release, waits until its lease has lapsed before the end is recorded, because the
     * job may be placed again right after the record.
     *
     * @param gang the placed gang, not null
     * @param result the result of the gang attempt, not null
     * @param reason a sentence with the reason, not null
     * @param workersAtFault the identifiers of the workers on which tasks failed, not null
     * @param checkpointMillis the part of the run that the checkpoints of all members cover, in
     *     milliseconds
     * @return a future that never fails; its value is true if the record of the end was applied
     */
    public CompletableFuture<Boolean> releaseThenRecordEnd(
            GangPlaced gang,
            GangResult result,
            String reason,
            List<String> workersAtFault,
            long checkpointMillis) {
        return stopper.release(gang)
                .thenCompose(GangRunner::waitUntilLeasesLapse)
                .thenCompose(
                        lapsed ->
                                recordEnd(gang, result, reason, workersAtFault, checkpointMillis));
    }

    private static CompletableFuture<Void> waitUntilLeasesLapse(boolean allReleased) {
        if (allReleased) {
            return CompletableFuture.completedFuture(null);
        }
        return CompletableFuture.runAsync(
                () -> {},
                CompletableFuture.delayedExecutor(
                        LeaseTimings.DEFAULT.retryDelayAfterLossMillis(), TimeUnit.MILLISECONDS));
    }

    private CompletableFuture<Boolean> recordEnd(
            GangPlaced gang,
            GangResult result,
            String reason,
            List<String> workersAtFault,
            long checkpointMillis) {
        GangEnded end =
                new GangEnded(
                        gang.job(),
                        gang.attempt(),
                        gang.epoch(),
                        result,
                        reason,
                        workersAtFault,
                        checkpointMillis,
                        clock.getAsLong());
        return log.append(gang.attempt() + "-ended-" + result.text(), end)
                .handle(
                        (effect, error) -> {
                            if (error != null) {
                                metrics.countRetry(Failures.of(error).type());
                            }
                            return effect == RecordEffect.APPLIED;
                        });
    }

    private CompletableFuture<Boolean> handleStartResult(GangPlaced gang, Throwable error) {
        if (error == null) {
            startBackoffs.remove(gang.job());
            metrics.count("gangs.started");
            EventLog.event("gang-started")
                    .field("job", gang.job())
                    .field("attempt", gang.attempt())
                    .field("members", gang.members().size())
                    .info();
            return CompletableFuture.completedFuture(true);
        }
        SchedulerException failure = Failures.of(error);
        metrics.countRetry(failure.type());
        EventLog.event("gang-start-failed")
                .field("job", gang.job())
                .field("attempt", gang.attempt())
                .field("reason", failure.type().text())
                .field("detail", failure.getMessage())
                .warn();
        startBackoffs.compute(
                gang.job(),
                (job, previous) -> StartBackoff.afterFailure(previous, clock.getAsLong()));
        // If the placement was applied, its end must be recorded before the job can be placed
        // again.
        return isCurrentAttempt(gang)
                ? releaseThenRecordEnd(gang, GangResult.LOST, failure.getMessage(), List.of(), 0L)
                        .thenApply(recorded -> false)
                : CompletableFuture.completedFuture(false);
    }

    private void clearStartState(String jobId) {
        startingGangs.remove(jobId);
        jobsInTransition.remove(jobId);
    }

    private boolean isCurrentAttempt(GangPlaced gang) {
        return ledger.job(gang.job())
                .flatMap(Job::currentAttempt)
                .filter(attempt -> attempt.placed().attempt().equals(gang.attempt()))
                .isPresent();
    }

    /** Creates the placement record, or returns empty if the address of a worker is unknown. */
    private Optional<GangPlaced> createPlacement(
            Job job,
            StartGang decision,
            long epoch,
            Function<String, Optional<String>> addressOfWorker) {
        String attemptId = decision.job() + "." + epoch + "." + attemptSequence.incrementAndGet();
        List<GangMember> members = new ArrayList<>();
        for (TaskPlacement task : decision.members()) {
            Optional<String> address = addressOfWorker.apply(task.worker());
            if (address.isEmpty()) {
                return Optional.empty();
            }
            members.add(
                    new GangMember(
                            Integer.toString(task.task()),
                            task.worker(),
                            address.get(),
                            attemptId + "." + task.task(),
                            task.accelerators()));
        }
        return Optional.of(
                new GangPlaced(
                        decision.job(),
                        attemptId,
                        epoch,
                        members,
                        decision.claims(),
                        job.spec().cpus(),
                        job.spec().memoryMb(),
                        job.resumeMillis(),
                        clock.getAsLong()));
    }
}
