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
 * Carries out the start of one gang attempt: calls workers, tells {@link GangLifecycle} what they
 * answer, and does what it decides.
 */
final class GangStartOperation {
    private static final LeaseTimings TIMINGS = LeaseTimings.DEFAULT;
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
     * Prepares a start.
     *
     * @param gang the placement
     * @param spec what the caller submitted
     * @param workers calls the workers
     * @param stopper returns the leases of a gang that cannot start
     * @param recorder records the placement and passes if tasks may start then
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
     * Asks for all leases, and goes on by what the workers answer.
     *
     * @return a future that ends when every task runs under a full lease; it fails with a typed
     *     reason after all leases were told to go
     */
    CompletableFuture<Void> start() {
        Executor later =
                CompletableFuture.delayedExecutor(
                        TIMINGS.startBoundMillis(), TimeUnit.MILLISECONDS);
        later.execute(
                () ->
                        applyEvent(
                                r -> r.checkDeadline(Clocks.monotonicMillis(), TIMINGS),
                                startTimedOut()));
        for (int i = 0; i < gang.members().size(); i++) {
            int member = i;
            requestLease(gang.members().get(i))
                    .whenComplete(
                            (granted, error) -> fireMemberEvent(member, leaseEvent(error), error));
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

    private void fireMemberEvent(int member, MemberEvent event, Throwable error) {
        SchedulerException failure = error == null ? null : Failures.of(error);
        applyEvent(r -> r.onMemberEvent(member, event, Clocks.monotonicMillis(), TIMINGS), failure);
    }

    /** Takes one step under the lock, so that no step works on a state that another has left. */
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
            case START_TASKS -> recordAndStart();
            case CONFIRM -> renewAllLeases();
            default -> releaseAndFail(failure);
        }
    }

    private void recordAndStart() {
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
        if (lifecycle().state() != GangState.STARTING) {
            return;
        }
        Map<String, List<Integer>> byAddress =
                IntStream.range(0, gang.members().size())
                        .boxed()
                        .collect(
                                Collectors.groupingBy(
                                        i -> gang.members().get(i).address(),
                                        LinkedHashMap::new,
                                        Collectors.toList()));
        byAddress.forEach(this::startTasksOnWorker);
    }

    /** Starts the tasks of one worker and asks it, for an answer does not prove that they run. */
    private void startTasksOnWorker(String address, List<Integer> members) {
        TaskRequest request =
                new TaskRequest(spec.command(), spec.runSeconds() * 1_000L, gang.resumeMillis());
        List<CompletableFuture<Void>> starts = new ArrayList<>();
        members.forEach(
                i -> starts.add(startTask(gang.members().get(i), request, MAX_START_TRIES)));
        Futures.allOf(starts)
                .thenCompose(answered -> workers.fetchReport(address))
                .whenComplete(
                        (report, error) -> members.forEach(i -> handleReport(i, report, error)));
    }

    private void handleReport(int member, WorkerReport report, Throwable error) {
        if (error != null) {
            fireMemberEvent(member, MemberEvent.LOST, error);
        } else if (listsTask(gang.members().get(member), report)) {
            fireMemberEvent(member, MemberEvent.RUNNING, null);
        } else {
            fireMemberEvent(member, MemberEvent.LOST, taskNotListed(gang.members().get(member)));
        }
    }

    private CompletableFuture<Void> startTask(GangMember member, TaskRequest request, int tries) {
        return workers.startTask(member.address(), member.lease(), member.task(), request)
                .handle((done, error) -> error)
                .thenCompose(error -> retryIfUnanswered(member, request, tries - 1, error));
    }

    private CompletableFuture<Void> retryIfUnanswered(
            GangMember member, TaskRequest request, int triesLeft, Throwable error) {
        if (error == null) {
            return CompletableFuture.completedFuture(null);
        }
        boolean answerLost = Failures.of(error).type() == FailureType.WORKER_UNREACHABLE;
        if (answerLost && triesLeft > 0) {
            return startTask(member, request, triesLeft);
        }
        return CompletableFuture.failedFuture(error);
    }

    private void renewAllLeases() {
        Map<String, List<String>> leases = new LinkedHashMap<>();
        for (GangMember member : gang.members()) {
            leases.computeIfAbsent(member.address(), a -> new ArrayList<>()).add(member.lease());
        }
        List<CompletableFuture<Void>> renewals = new ArrayList<>();
        leases.forEach((address, held) -> renewals.add(renewWorker(address, held)));
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

    private CompletableFuture<Void> renewWorker(String address, List<String> leases) {
        return workers.renewLeases(address, leases, GangStarter.RUN_LEASE_TTL)
                .thenAccept(
                        renewal -> {
                            if (!renewal.unknown().isEmpty()) {
                                throw new SchedulerException(
                                        FailureType.GANG_START_INCOMPLETE,
                                        "worker at " + address + " lost a lease during the start");
                            }
                        });
    }

    private void stopGang(SchedulerException failure) {
        applyEvent(r -> r.stop(Clocks.monotonicMillis(), TIMINGS), failure);
    }

    /** Returns all leases and reports the first reason; further reasons are passed over. */
    private void releaseAndFail(SchedulerException failure) {
        synchronized (this) {
            if (firstFailure != null) {
                return;
            }
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

    private static boolean listsTask(GangMember member, WorkerReport report) {
        return report.leases().stream()
                .filter(lease -> lease.lease().equals(member.lease()))
                .flatMap(lease -> lease.tasks().stream())
                .anyMatch(task -> task.task().equals(member.task()));
    }

    private static SchedulerException taskNotListed(GangMember member) {
        return new SchedulerException(
                FailureType.GANG_START_INCOMPLETE,
                "task " + member.task() + " does not run on worker " + member.worker());
    }

    private static SchedulerException startTimedOut() {
        return new SchedulerException(
                FailureType.GANG_START_INCOMPLETE,
                "not every member ran within " + TIMINGS.startBoundMillis() + " ms");
    }
}
