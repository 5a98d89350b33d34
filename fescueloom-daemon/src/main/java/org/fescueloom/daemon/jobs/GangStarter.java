package org.fescueloom.daemon.jobs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.gang.LeaseTerms;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.JobSpec;
import org.fescueloom.job.RecordEffect;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.WorkerReport;

/**
 * Starts a gang in two steps: leases on all members, then the tasks, and sees that all run.
 *
 * <p>Between the steps the placement is recorded in the log; only a placement that counts there is
 * started. Until the second step no task runs, and the leases lapse within {@link #START_LEASE}, so
 * a planner that dies or is paused between the steps starts nothing.
 */
public final class GangStarter {
    /** The lease of a member that is granted but not started. */
    public static final Duration START_LEASE = Duration.ofMillis(2_000L);

    private static final Duration RUN_LEASE = Duration.ofMillis(LeaseTerms.DEFAULT.ttlMillis());
    private static final int START_TRIES = 3;

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
        Objects.requireNonNull(spec, "spec");
        CompletableFuture<Void> started =
                zoneCheck
                        .apply(gang)
                        .thenCompose(checked -> grantAll(gang, spec))
                        .thenCompose(granted -> recorder.apply(gang))
                        .thenCompose(GangStarter::requireApplied)
                        .thenCompose(recorded -> zoneCheck.apply(gang))
                        .thenCompose(checked -> startAll(gang, spec))
                        .thenCompose(answered -> confirmAll(gang))
                        .thenCompose(running -> renewAll(gang));
        return started.handle((done, error) -> error)
                .thenCompose(
                        error ->
                                error == null
                                        ? CompletableFuture.<Void>completedFuture(null)
                                        : giveUp(gang, error));
    }

    private CompletableFuture<Void> grantAll(GangPlaced gang, JobSpec spec) {
        List<CompletableFuture<Void>> grants = new ArrayList<>();
        for (GangMember member : gang.members()) {
            LeaseRequest request =
                    new LeaseRequest(
                            gang.epoch(),
                            gang.job(),
                            gang.attempt(),
                            member.accelerators(),
                            spec.cpus(),
                            spec.memoryMb(),
                            START_LEASE.toMillis());
            grants.add(workers.grant(member.address(), member.lease(), request));
        }
        return Futures.all(grants);
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

    private CompletableFuture<Void> startAll(GangPlaced gang, JobSpec spec) {
        TaskRequest request =
                new TaskRequest(spec.command(), spec.runSeconds() * 1_000L, gang.resumeMillis());
        List<CompletableFuture<Void>> starts =
                gang.members().stream().map(m -> startTask(m, request, START_TRIES)).toList();
        return Futures.all(starts);
    }

    private CompletableFuture<Void> startTask(GangMember member, TaskRequest request, int tries) {
        return workers.startTask(member.address(), member.lease(), member.task(), request)
                .handle((done, error) -> error)
                .thenCompose(error -> retryStart(member, request, tries - 1, error));
    }

    private CompletableFuture<Void> retryStart(
            GangMember member, TaskRequest request, int triesLeft, Throwable error) {
        if (error == null) {
            return CompletableFuture.completedFuture(null);
        }
        boolean answerLost = Futures.failure(error).type() == FailureType.WORKER_UNREACHABLE;
        if (answerLost && triesLeft > 0) {
            return startTask(member, request, triesLeft);
        }
        return CompletableFuture.failedFuture(error);
    }

    /** Asks every worker, for an answer to a start does not prove that the task runs. */
    private CompletableFuture<Void> confirmAll(GangPlaced gang) {
        Map<String, List<GangMember>> byAddress =
                gang.members().stream().collect(Collectors.groupingBy(GangMember::address));
        List<CompletableFuture<Void>> confirmations = new ArrayList<>();
        byAddress.forEach(
                (address, members) ->
                        confirmations.add(
                                workers.report(address)
                                        .thenAccept(r -> members.forEach(m -> confirm(m, r)))));
        return Futures.all(confirmations);
    }

    private static void confirm(GangMember member, WorkerReport report) {
        boolean runs =
                report.leases().stream()
                        .filter(lease -> lease.lease().equals(member.lease()))
                        .flatMap(lease -> lease.tasks().stream())
                        .anyMatch(task -> task.task().equals(member.task()));
        if (!runs) {
            throw new SchedulerException(
                    FailureType.GANG_START_INCOMPLETE,
                    "task " + member.task() + " does not run on worker " + member.worker());
        }
    }

    private CompletableFuture<Void> renewAll(GangPlaced gang) {
        Map<String, List<String>> leases = new LinkedHashMap<>();
        for (GangMember member : gang.members()) {
            leases.computeIfAbsent(member.address(), a -> new ArrayList<>()).add(member.lease());
        }
        List<CompletableFuture<Void>> renewals = new ArrayList<>();
        leases.forEach((address, held) -> renewals.add(renewWorker(address, held)));
        return Futures.all(renewals);
    }

    private CompletableFuture<Void> renewWorker(String address, List<String> leases) {
        return workers.renew(address, leases, RUN_LEASE)
                .thenAccept(
                        result -> {
                            if (!result.unknown().isEmpty()) {
                                throw new SchedulerException(
                                        FailureType.GANG_START_INCOMPLETE,
                                        "worker at " + address + " lost a lease during the start");
                            }
                        });
    }

    private CompletableFuture<Void> giveUp(GangPlaced gang, Throwable error) {
        return stopper.release(gang)
                .thenCompose(released -> CompletableFuture.failedFuture(Futures.failure(error)));
    }
}
