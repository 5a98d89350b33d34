package org.fescueloom.daemon.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.fescueloom.daemon.cluster.Clocks;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.gang.GangAction;
import org.fescueloom.gang.GangLifecycle;
import org.fescueloom.gang.GangState;
import org.fescueloom.gang.GangTransition;
import org.fescueloom.gang.LeaseTimings;
import org.fescueloom.gang.MemberEvent;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.JobSpec;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.WorkerReport;

/**
 * Starts one gang attempt. The operation calls the workers, passes their responses as events to
 * {@link GangLifecycle}, and carries out the actions that the life cycle returns.
 */
final class GangStartOperation {
    private static final LeaseTimings TIMINGS = LeaseTimings.DEFAULT;

    /**
     * The maximum number of calls to start one task, including the first. A call is repeated only
     * if it fails with {@code WORKER_UNREACHABLE}.
     */
    private static final int MAX_START_TRIES = 3;

    private final CompletableFuture<Void> result = new CompletableFuture<>();
    private final GangPlaced gang;
    private final JobSpec spec;
    private final WorkerClient workers;
    private final GangStopper stopper;
    private final Function<GangPlaced, CompletableFuture<Void>> recorder;
    private GangLifecycle lifecycle;
    private SchedulerException firstFailure;

    /**
     * Creates an operation that has not started.
     *
     * @param gang the placed gang
     * @param spec the specification of the job
     * @param workers calls the workers
     * @param stopper releases the leases if the gang cannot start
     * @param recorder records the placement; the future completes normally only if the tasks may be
     *     started
     */
    GangStartOperation(
            GangPlaced gang,
            JobSpec spec,
            WorkerClient workers,
            GangStopper stopper,
            Function<GangPlaced, CompletableFuture<Void>> recorder) {
        this.gang = gang;
        this.spec = spec;
        this.workers = workers;
        this.stopper = stopper;
        this.recorder = recorder;
        this.lifecycle =
                GangLifecycle.begin(gang.members().size(), Clocks.monotonicMillis(), TIMINGS);
    }

    /**
     * Requests the leases of all members. The further steps follow from the responses of the
     * workers.
     *
     * @return a future that completes when every worker has reported its tasks and every lease has
     *     been renewed for {@link GangStarter#RUN_LEASE_TTL}; if the start fails, the future fails
     *     with a {@link SchedulerException} after the release of every lease was confirmed or has
     *     failed
     */
    CompletableFuture<Void> start() {
        Executor deadlineExecutor =
                CompletableFuture.delayedExecutor(
                        TIMINGS.startBoundMillis(), TimeUnit.MILLISECONDS);
        deadlineExecutor.execute(
                () ->
                        applyStep(
                                current -> current.checkDeadline(Clocks.monotonicMillis(), TIMINGS),
                                startDeadlinePassed()));
        for (int i = 0; i < gang.members().size(); i++) {
            int memberIndex = i;
            requestLease(gang.members().get(i))
                    .whenComplete(
                            (granted, error) ->
                                    applyMemberEvent(memberIndex, leaseEvent(error), error));
        }
        return result;
    }

    private CompletableFuture<Void> requestLease(GangMember member) {
        LeaseRequest request =
                new LeaseRequest(
                        gang.epoch(),
                        gang.job(),
                        gang.attempt(),
                        member.accelerators(),
                        spec.cpus(),
                        spec.memoryMb(),
                        GangStarter.START_LEASE_TTL.toMillis());
        return workers.requestLease(member.address(), member.lease(), request);
    }

    private synchronized GangLifecycle lifecycle() {
        return lifecycle;
    }

    private void applyMemberEvent(int memberIndex, MemberEvent event, Throwable error) {
        SchedulerException failure = error == null ? null : Failures.of(error);
        applyStep(
                current ->
                        current.onMemberEvent(
                                memberIndex, event, Clocks.monotonicMillis(), TIMINGS),
                failure);
    }

    /**
     * Moves the life cycle on by one step and carries out the resulting action. The state changes
     * under the lock, because responses arrive on several threads.
     */
    private void applyStep(
            Function<GangLifecycle, GangTransition> step, SchedulerException failure) {
        GangTransition transition;
        synchronized (this) {
            transition = step.apply(lifecycle);
            // The component named run is the life cycle after the event.
            lifecycle = transition.run();
        }
        carryOut(transition, failure);
    }

    private void carryOut(GangTransition transition, SchedulerException failure) {
        transition.action().ifPresent(action -> carryOut(action, failure));
    }

    private void carryOut(GangAction action, SchedulerException failure) {
        switch (action) {
            case START_TASKS -> recordPlacementAndStartTasks();
            // Extends the leases to RUN_LEASE_TTL; from then on the keepers renew them.
            case CONFIRM -> renewAllLeases();
            // STOP_TASKS and RETURN_LEASES: the release of a lease also stops its task.
            // CHECKPOINT_TASKS does not occur, because this class requests no stop of running
            // tasks.
            default -> releaseAndFail(failure);
        }
    }

    private void recordPlacementAndStartTasks() {
        recorder.apply(gang)
                .whenComplete(
                        (recorded, error) -> {
                            if (error == null) {
                                startTasks();
                            } else {
                                stopGang(Failures.of(error));
                            }
                        });
    }

    private void startTasks() {
        // The start may have failed while the placement was being recorded.
        if (lifecycle().state() != GangState.STARTING) {
            return;
        }
        Map<String, List<Integer>> membersByAddress =
                IntStream.range(0, gang.members().size())
                        .boxed()
                        .collect(
                                Collectors.groupingBy(
                                        i -> gang.members().get(i).address(),
                                        LinkedHashMap::new,
                                        Collectors.toList()));
        membersByAddress.forEach(this::startTasksOnWorker);
    }

    /**
     * Starts the tasks of one worker and then fetches the report of the worker, because only the
     * report shows that the worker has the tasks under their leases.
     */
    private void startTasksOnWorker(String address, List<Integer> memberIndexes) {
        TaskRequest request =
                new TaskRequest(spec.command(), spec.runSeconds() * 1_000L, gang.resumeMillis());
        List<CompletableFuture<Void>> starts = new ArrayList<>();
        memberIndexes.forEach(
                i -> starts.add(startTask(gang.members().get(i), request, MAX_START_TRIES)));
        Futures.allOf(starts)
                .thenCompose(started -> workers.fetchReport(address))
                .whenComplete(
                        (report, error) ->
                                memberIndexes.forEach(i -> handleReport(i, report, error)));
    }

    /**
     * Reports the member as running if the report contains its task, otherwise as lost, because
     * then the task cannot be confirmed.
     */
    private void handleReport(int memberIndex, WorkerReport report, Throwable error) {
        if (error != null) {
            applyMemberEvent(memberIndex, MemberEvent.LOST, error);
        } else if (listsTask(gang.members().get(memberIndex), report)) {
            applyMemberEvent(memberIndex, MemberEvent.RUNNING, null);
        } else {
            applyMemberEvent(
                    memberIndex, MemberEvent.LOST, taskNotListed(gang.members().get(memberIndex)));
        }
    }

    private CompletableFuture<Void> startTask(
            GangMember member, TaskRequest request, int triesLeft) {
        return workers.startTask(member.address(), member.lease(), member.task(), request)
                .handle((done, error) -> error)
                .thenCompose(error -> retryIfUnreachable(member, request, triesLeft - 1, error));
    }

    private CompletableFuture<Void> retryIfUnreachable(
            GangMember member, TaskRequest request, int triesLeft, Throwable error) {
        if (error == null) {
            return CompletableFuture.completedFuture(null);
        }
        boolean unreachable = Failures.of(error).type() == FailureType.WORKER_UNREACHABLE;
        if (unreachable && triesLeft > 0) {
            return startTask(member, request, triesLeft);
        }
        return CompletableFuture.failedFuture(error);
    }

    private void renewAllLeases() {
        Map<String, List<String>> leasesByAddress = new LinkedHashMap<>();
        for (GangMember member : gang.members()) {
            leasesByAddress
                    .computeIfAbsent(member.address(), a -> new ArrayList<>())
                    .add(member.lease());
        }
        List<CompletableFuture<Void>> renewals = new ArrayList<>();
        leasesByAddress.forEach((address, leases) -> renewals.add(renewOnWorker(address, leases)));
        Futures.allOf(renewals)
                .whenComplete(
                        (renewed, error) -> {
                            if (error == null) {
                                result.complete(null);
                            } else {
                                releaseAndFail(Failures.of(error));
                            }
                        });
    }

    private CompletableFuture<Void> renewOnWorker(String address, List<String> leases) {
        return workers.renewLeases(address, leases, GangStarter.RUN_LEASE_TTL)
                .thenAccept(
                        renewal -> {
                            if (!renewal.unknown().isEmpty()) {
                                throw new SchedulerException(
                                        FailureType.GANG_START_INCOMPLETE,
                                        "worker at "
                                                + address
                                                + " does not hold the granted leases "
                                                + renewal.unknown());
                            }
                        });
    }

    private void stopGang(SchedulerException failure) {
        applyStep(current -> current.stop(Clocks.monotonicMillis(), TIMINGS), failure);
    }

    /**
     * Releases all leases and then fails the operation. Only the first call has an effect; the
     * failures of later calls are ignored.
     */
    private void releaseAndFail(SchedulerException failure) {
        synchronized (this) {
            if (firstFailure != null) {
                return;
            }
            // No failure means that the deadline has passed: the life cycle checks the deadline at
            // every event, also at the successful ones.
            firstFailure = failure == null ? startDeadlinePassed() : failure;
        }
        stopper.release(gang)
                .whenComplete((released, error) -> result.completeExceptionally(firstFailure));
    }

    private static MemberEvent leaseEvent(Throwable error) {
        if (error == null) {
            return MemberEvent.LEASED;
        }
        return Failures.of(error).type() == FailureType.WORKER_UNREACHABLE
                ? MemberEvent.LOST
                : MemberEvent.REFUSED;
    }

    /**
     * Tells whether the report contains the task of a member under the member's lease. A task that
     * has ended meanwhile counts as well.
     */
    private static boolean listsTask(GangMember member, WorkerReport report) {
        return report.leases().stream()
                .filter(lease -> lease.lease().equals(member.lease()))
                .flatMap(lease -> lease.tasks().stream())
                .anyMatch(task -> task.task().equals(member.task()));
    }

    private static SchedulerException taskNotListed(GangMember member) {
        return new SchedulerException(
                FailureType.GANG_START_INCOMPLETE,
                "task "
                        + member.task()
                        + " was started but is not in the report of worker "
                        + member.worker());
    }

    private static SchedulerException startDeadlinePassed() {
        return new SchedulerException(
                FailureType.GANG_START_INCOMPLETE,
                "not all members of the gang were running after "
                        + TIMINGS.startBoundMillis()
                        + " ms");
    }
}
