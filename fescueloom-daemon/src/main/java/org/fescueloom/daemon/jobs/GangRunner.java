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

/** Carries out what a plan decided: starts gangs, stops them, and records how they ended. */
public final class GangRunner {
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
     * @param log records ends, not null
     * @param ledger tells what was recorded, not null
     * @param metrics counts starts and stops, not null
     * @param clock gives the time in milliseconds since the epoch, not null
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
     * Returns the jobs that are being started or stopped.
     *
     * @return the identifiers, never null
     */
    public Set<String> jobsInTransition() {
        return Set.copyOf(jobsInTransition);
    }

    /**
     * Returns the gangs that are being started.
     *
     * @return the placements by job, never null; those that are recorded already too
     */
    public Map<String, GangPlaced> startingGangs() {
        return Map.copyOf(startingGangs);
    }

    /**
     * Returns when jobs whose start failed are tried again.
     *
     * @return the backoffs by job, never null
     */
    public Map<String, StartBackoff> startBackoffs() {
        return Map.copyOf(startBackoffs);
    }

    /**
     * Starts a gang; does nothing for a job that is being started or stopped.
     *
     * @param start the decision, not null
     * @param epoch the epoch of the planner
     * @param addresses gives the address of a worker, not null
     * @return a future that is true if the gang runs; it never fails
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
     * Saves the progress of a job's gang, stops it and records why; does nothing for a job that is
     * being started or stopped.
     *
     * @param id the job, not null
     * @param result how the gang ends, not null
     * @param reason why, in words, not null
     * @return a future that is true if the end is recorded; it never fails
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
     * Saves the progress of a gang if it can, stops it and records why.
     *
     * @param gang the gang, not null
     * @param checkpointable whether its tasks can save their progress
     * @param result how it ends, not null
     * @param reason why, in words, not null
     * @param atFault the workers on which tasks failed, not null
     * @param checkpointMillis how much of the run earlier checkpoints hold, in milliseconds
     * @return a future that is true if the end is recorded; it never fails
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
     * Records how a gang ended and only then releases its leases, so that workers keep the result
     * until the log has it.
     *
     * @param gang the gang, not null
     * @param result how it ended, not null
     * @param reason why, in words, not null
     * @return a future that is true if the end is recorded; it never fails
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
     * Releases the leases of a gang, waits until none can be held any longer, and records the end.
     *
     * @param gang the gang, not null
     * @param result how it ends, not null
     * @param reason why, in words, not null
     * @param atFault the workers on which tasks failed, not null
     * @param checkpointMillis how much of the run checkpoints hold, in milliseconds
     * @return a future that is true if the end is recorded; it never fails
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
                        gone -> recordEnd(gang, result, reason, workersAtFault, checkpointMillis));
    }

    private static CompletableFuture<Void> waitUntilLeasesLapse(boolean released) {
        if (released) {
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
                gang.job(), (job, before) -> StartBackoff.afterFailure(before, clock.getAsLong()));
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
                .filter(a -> a.placed().attempt().equals(gang.attempt()))
                .isPresent();
    }

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
