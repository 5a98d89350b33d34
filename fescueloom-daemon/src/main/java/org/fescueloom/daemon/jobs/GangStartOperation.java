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
     * The maximum number of calls that start one task; a call is repeated only if it fails with
     * {@code WORKER_UNREACHABLE}.
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
     * @param spec the job as the caller submitted it
     * @param workers calls the workers
     * @param stopper releases the leases if the gang cannot start
     * @param recorder records the placement; its future fails unless tasks may start after that
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
     * @return a future that completes when every task runs and every lease has been renewed for
     *     {@link GangStarter#RUN_LEASE_TTL}; if the start fails, the future fails with a {@link
     *     SchedulerException} after the release of all leases was requested
     */
    CompletableFuture<Void> start() {
        Executor deadlineExecutor =
                CompletableFuture.delayedExecutor(
                        TIMINGS.startBoundMillis(), TimeUnit.MILLISECONDS);
        deadlineExecutor.execute(
                () ->
                        applyEvent(
                                current -> current.checkDeadline(Clocks.monotonicMillis(), TIMINGS),
                                startTimedOut()));
        for (int i = 0; i < gang.members().size(); i++) {
            int memberIndex = i;
            requestLease(gang.members().get(i))
                    .whenComplete(
                            (granted, error) ->
                                    fireMemberEvent(memberIndex, leaseEvent(error), error));
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

    private void fireMemberEvent(int memberIndex, MemberEvent event, Throwable error) {
        SchedulerException failure = error == null ? null : Failures.of(error);
        applyEvent(
                current ->
                        current.onMemberEvent(
                                memberIndex, event, Clocks.monotonicMillis(), TIMINGS),
                failure);
    }

    /**
     * Applies one event to the life cycle and carries out the resulting action. The state changes
     * under the lock, because responses arrive on several threads.
     */
    private void applyEvent(
            Function<GangLifecycle, GangTransition> event, SchedulerException failure) {
        GangTransition transition;
        synchronized (this) {
            transition = event.apply(lifecycle);
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
            case CONFIRM -> renewAllLeases();
            // The other actions all end the attempt. The release of a lease also stops its task.
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
     * Starts the tasks of one worker and then fetches the report of the worker, because the
     * response to a start does not prove that the task runs.
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

    private void handleReport(int memberIndex, WorkerReport report, Throwable error) {
        if (error != null) {
            fireMemberEvent(memberIndex, MemberEvent.LOST, error);
        } else if (listsTask(gang.members().get(memberIndex), report)) {
            fireMemberEvent(memberIndex, MemberEvent.RUNNING, null);
        } else {
            fireMemberEvent(
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
                                                + " lost a lease during the gang start");
                            }
                        });
    }

    private void stopGang(SchedulerException failure) {
        applyEvent(current -> current.stop(Clocks.monotonicMillis(), TIMINGS), failure);
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
            // A deadline that passes is detected by any later event, which may itself carry no
            // failure.
            firstFailure = failure == null ? startTimedOut() : failure;
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

    /** Tells whether the report contains the task of a member under its lease, in any state. */
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

    private static SchedulerException startTimedOut() {
        return new SchedulerException(
                FailureType.GANG_START_INCOMPLETE,
                "not every member of the gang ran within " + TIMINGS.startBoundMillis() + " ms");
    }
}
