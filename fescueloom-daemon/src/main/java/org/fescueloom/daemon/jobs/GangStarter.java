package org.fescueloom.daemon.jobs;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.gang.LeaseTimings;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.JobSpec;
import org.fescueloom.job.RecordEffect;

/**
 * Starts gangs in two steps, leases on all members and then the tasks, and sees that all run.
 *
 * <p>Between the steps the placement is recorded in the log; only a placement that counts there is
 * started. Until the second step no task runs, and the leases lapse within {@link
 * #START_LEASE_TTL}, so a planner that dies or is paused between the steps starts nothing.
 */
public final class GangStarter {
    /** The lease of a member that is granted but not started. */
    public static final Duration START_LEASE_TTL = Duration.ofMillis(2_000L);

    /** The lease of a member that runs. */
    static final Duration RUN_LEASE_TTL = Duration.ofMillis(LeaseTimings.DEFAULT.ttlMillis());

    private final WorkerClient workers;
    private final GangStopper stopper;
    private final Function<GangPlaced, CompletableFuture<RecordEffect>> recorder;
    private final Function<GangPlaced, CompletableFuture<Void>> zoneCheck;

    /**
     * Creates a starter.
     *
     * @param workers calls the workers, not null
     * @param stopper returns the leases of a gang that cannot start, not null
     * @param recorder appends a placement and tells what it did to the state, not null
     * @param zoneCheck fails unless work may start in the zone of each member now, not null
     */
    public GangStarter(
            WorkerClient workers,
            GangStopper stopper,
            Function<GangPlaced, CompletableFuture<RecordEffect>> recorder,
            Function<GangPlaced, CompletableFuture<Void>> zoneCheck) {
        this.workers = Objects.requireNonNull(workers, "workers");
        this.stopper = Objects.requireNonNull(stopper, "stopper");
        this.recorder = Objects.requireNonNull(recorder, "recorder");
        this.zoneCheck = Objects.requireNonNull(zoneCheck, "zoneCheck");
    }

    /**
     * Starts a gang.
     *
     * @param gang the placement, not null
     * @param spec what the caller submitted, not null
     * @return a future that ends when every task runs under a full lease; it fails with a typed
     *     reason after all leases were told to go
     */
    public CompletableFuture<Void> start(GangPlaced gang, JobSpec spec) {
        Objects.requireNonNull(gang, "gang");
        Objects.requireNonNull(spec, "spec");
        return zoneCheck
                .apply(gang)
                .thenCompose(
                        checked ->
                                new GangStartOperation(
                                                gang, spec, workers, stopper, this::recordPlacement)
                                        .start());
    }

    private CompletableFuture<Void> recordPlacement(GangPlaced gang) {
        return recorder.apply(gang)
                .thenCompose(GangStarter::requireApplied)
                .thenCompose(recorded -> zoneCheck.apply(gang));
    }

    private static CompletableFuture<Void> requireApplied(RecordEffect effect) {
        return switch (effect) {
            case APPLIED -> CompletableFuture.completedFuture(null);
            case STALE_EPOCH ->
                    CompletableFuture.failedFuture(
                            new SchedulerException(
                                    FailureType.STALE_EPOCH, "a later planner has taken over"));
            default ->
                    CompletableFuture.failedFuture(
                            new SchedulerException(
                                    FailureType.ATTEMPT_CANCELLED,
                                    "the job no longer waits: " + effect));
        };
    }
}
