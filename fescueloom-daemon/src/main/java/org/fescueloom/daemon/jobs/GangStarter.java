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
 * Starts gangs in two steps: first acquires the leases of all members, then starts the tasks and
 * checks that the workers report all of them.
 *
 * <p>Between the two steps the placement is recorded in the {@code jobs} stream. The tasks are
 * started only if that record is applied. No task runs before the second step, and the leases lapse
 * within {@link #START_LEASE_TTL}, so a planner that dies or is paused between the steps starts no
 * task.
 */
public final class GangStarter {
    /** The duration of a lease whose task has not been started. */
    public static final Duration START_LEASE_TTL = Duration.ofMillis(2_000L);

    /** The duration of a lease whose task runs. */
    static final Duration RUN_LEASE_TTL = Duration.ofMillis(LeaseTimings.DEFAULT.ttlMillis());

    private final WorkerClient workers;
    private final GangStopper stopper;
    private final Function<GangPlaced, CompletableFuture<RecordEffect>> recorder;
    private final Function<GangPlaced, CompletableFuture<Void>> zoneCheck;

    /**
     * Creates a starter.
     *
     * @param workers calls the workers, not null
     * @param stopper releases the leases of a gang that cannot start, not null
     * @param recorder appends a placement to the {@code jobs} stream and gives the effect of the
     *     record, not null
     * @param zoneCheck gives a future that fails unless tasks may start now in the zones of all
     *     members, not null
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
     * Starts a gang. The zones are checked before the leases are requested, and again before the
     * tasks are started.
     *
     * @param gang the placed gang, not null
     * @param spec the specification of the job, not null
     * @return a future that completes when every worker has reported its tasks and every lease has
     *     been renewed for {@link #RUN_LEASE_TTL}; if the start fails, the future fails with a
     *     {@link SchedulerException} after the release of every requested lease was confirmed or
     *     has failed
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
                                    FailureType.STALE_EPOCH,
                                    "a planner with a higher epoch has been elected"));
            default ->
                    CompletableFuture.failedFuture(
                            new SchedulerException(
                                    FailureType.ATTEMPT_CANCELLED,
                                    "placement not applied, the job is no longer waiting: "
                                            + effect));
        };
    }
}
