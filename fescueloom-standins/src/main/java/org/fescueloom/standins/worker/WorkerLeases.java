package org.fescueloom.standins.worker;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueloom.failure.FailureType;
import org.fescueloom.standins.StandInResponse;
import org.fescueloom.wire.LeaseRenewal;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.TaskState;
import org.fescueloom.wire.WorkerCapacity;

/**
 * Grants leases, simulates the tasks that are started under the leases, and records an event for
 * each change.
 *
 * <p>Safe for use by several threads.
 */
final class WorkerLeases {
    /**
     * The time until a task that is affected by a fault fails, counted from its start or from the
     * last change of its speed.
     */
    private static final long FAILURE_DELAY_MILLIS = 20L;

    /** The token of events without a token, and the highest token before the first one. */
    private static final long NO_TOKEN = -1L;

    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;
    private static final int FULL_PERCENT = 100;

    private final WorkerCapacity capacity;
    private final ScheduledExecutorService timers;
    private final Map<String, HeldLease> leases = new LinkedHashMap<>();

    /** The identifiers of ended leases, which are never granted again. */
    private final Set<String> endedLeaseIds = new HashSet<>();

    private final List<WorkerEvent> events = new ArrayList<>();
    private long highestToken = NO_TOKEN;

    WorkerLeases(WorkerCapacity capacity, ScheduledExecutorService timers) {
        this.capacity = capacity;
        this.timers = timers;
    }

    synchronized List<WorkerEvent> events() {
        return List.copyOf(events);
    }

    synchronized long highestToken() {
        return highestToken;
    }

    synchronized List<LeaseReport> report() {
        long nowMillis = System.currentTimeMillis();
        leases.values().forEach(l -> l.tasks().values().forEach(t -> t.advance(nowMillis)));
        return leases.values().stream().map(l -> l.report(nowMillis)).toList();
    }

    /** Returns the resources of all leases under which at least one task runs. */
    synchronized WorkerUsage usage() {
        List<LeaseRequest> activeRequests =
                leases.values().stream()
                        .filter(l -> l.tasks().values().stream().anyMatch(SimulatedTask::isRunning))
                        .map(HeldLease::request)
                        .toList();
        int accelerators = activeRequests.stream().mapToInt(r -> r.accelerators().size()).sum();
        int cpus = activeRequests.stream().mapToInt(LeaseRequest::cpus).sum();
        long memoryMb = activeRequests.stream().mapToLong(LeaseRequest::memoryMb).sum();
        return new WorkerUsage(System.currentTimeMillis(), accelerators, cpus, memoryMb);
    }

    /** Grants a lease; a repeated request for a lease that is held gets the same lease again. */
    synchronized StandInResponse grant(String leaseId, LeaseRequest request) {
        if (recordTokenAndTestStale(request.token())) {
            return refuseStaleToken(leaseId, request.token());
        }
        HeldLease existing = leases.get(leaseId);
        if (existing != null && existing.isRequestedBy(request)) {
            return StandInResponse.json(200, existing.report(System.currentTimeMillis()));
        }
        if (existing != null || endedLeaseIds.contains(leaseId)) {
            return refuse(
                    leaseId,
                    request,
                    FailureType.IDENTIFIER_REUSED,
                    "the lease is held for a different request or has ended: " + leaseId);
        }
        if (request.ttlMillis() < 1L) {
            return StandInResponse.failure(
                    400,
                    FailureType.INVALID_FIELD,
                    "ttlMillis must be at least 1: " + request.ttlMillis());
        }
        if (!fits(request)) {
            return refuse(
                    leaseId,
                    request,
                    FailureType.OVERLOADED,
                    "not all requested resources are free: accelerators "
                            + request.accelerators()
                            + ", "
                            + request.cpus()
                            + " processor cores, "
                            + request.memoryMb()
                            + " MiB of memory");
        }
        HeldLease lease = new HeldLease(leaseId, request);
        leases.put(leaseId, lease);
        extend(lease, request.ttlMillis());
        recordEvent(WorkerEvent.Kind.LEASE_GRANTED, lease, null, request.token());
        return StandInResponse.json(200, lease.report(System.currentTimeMillis()));
    }

    /**
     * Extends the leases that this worker holds and reports the identifiers of all others. A
     * renewal carries no fencing token.
     */
    synchronized RenewalResponse renew(LeaseRenewal renewal) {
        List<String> renewedIds = new ArrayList<>();
        List<String> unknownIds = new ArrayList<>();
        for (String leaseId : renewal.leases()) {
            HeldLease lease = leases.get(leaseId);
            if (lease == null) {
                unknownIds.add(leaseId);
            } else {
                extend(lease, renewal.ttlMillis());
                renewedIds.add(leaseId);
            }
        }
        return new RenewalResponse(renewedIds, unknownIds);
    }

    /**
     * Ends a lease and stops its tasks. Responds with the remaining leases of this worker and
     * status 200, even if the lease was not held. The identifier is never granted afterwards.
     */
    synchronized StandInResponse release(String leaseId, long token) {
        if (recordTokenAndTestStale(token)) {
            return refuseStaleToken(leaseId, token);
        }
        endLease(leaseId, WorkerEvent.Kind.LEASE_RELEASED, token);
        return StandInResponse.json(200, report());
    }

    /**
     * Starts a task under a lease; a repeated start of the same task changes nothing. A start
     * carries no fencing token.
     */
    synchronized StandInResponse start(
            String leaseId, String taskId, TaskRequest request, StartMode mode) {
        HeldLease lease = leases.get(leaseId);
        if (lease == null) {
            return StandInResponse.failure(
                    CONFLICT, FailureType.NOT_FOUND, "no such lease: " + leaseId);
        }
        SimulatedTask existing = lease.tasks().get(taskId);
        if (existing != null) {
            return StandInResponse.json(200, existing.report());
        }
        long nowMillis = System.currentTimeMillis();
        SimulatedTask task =
                new SimulatedTask(taskId, request, mode == StartMode.FAILING, nowMillis);
        if (mode == StartMode.LOST) {
            // Reports a running task, but does not add the task to the lease.
            recordEvent(WorkerEvent.Kind.TASK_START_LOST, lease, taskId, NO_TOKEN);
            return StandInResponse.json(200, task.report());
        }
        lease.tasks().put(taskId, task);
        scheduleEnd(lease, task);
        recordEvent(WorkerEvent.Kind.TASK_STARTED, lease, taskId, NO_TOKEN);
        return StandInResponse.json(200, task.report());
    }

    synchronized StandInResponse checkpoint(String leaseId, String taskId) {
        return applyToRunningTask(leaseId, taskId, (lease, task) -> task.checkpoint());
    }

    synchronized StandInResponse stop(String leaseId, String taskId) {
        return applyToRunningTask(leaseId, taskId, this::stopTask);
    }

    synchronized StandInResponse throttle(String leaseId, String taskId, int speedPercent) {
        if (speedPercent < 0 || speedPercent > FULL_PERCENT) {
            throw new IllegalArgumentException("percent must be from 0 to 100: " + speedPercent);
        }
        return applyToRunningTask(
                leaseId,
                taskId,
                (lease, task) -> {
                    task.throttle(speedPercent);
                    scheduleEnd(lease, task);
                });
    }

    /**
     * Applies an action to a task if the task runs, and responds with the state of the task.
     * Responds with status 404 if there is no such task.
     */
    private StandInResponse applyToRunningTask(String leaseId, String taskId, TaskAction action) {
        HeldLease lease = leases.get(leaseId);
        SimulatedTask task = lease == null ? null : lease.tasks().get(taskId);
        if (task == null) {
            return StandInResponse.failure(
                    404,
                    FailureType.NOT_FOUND,
                    "no such lease or task: " + leaseId + ", " + taskId);
        }
        task.advance(System.currentTimeMillis());
        if (task.isRunning()) {
            action.apply(lease, task);
        }
        TaskReport report = task.report();
        return StandInResponse.json(200, report);
    }

    /**
     * Replaces the timer that ends a task. A task with speed 0 gets no timer, unless a fault makes
     * the task fail.
     */
    private void scheduleEnd(HeldLease lease, SimulatedTask task) {
        long delayMillis = task.failsByFault() ? FAILURE_DELAY_MILLIS : task.remainingMillis();
        if (delayMillis < 0L) {
            task.replaceEndTimer(null);
            return;
        }
        task.replaceEndTimer(
                timers.schedule(() -> endTask(lease, task), delayMillis, TimeUnit.MILLISECONDS));
    }

    private synchronized void endTask(HeldLease lease, SimulatedTask task) {
        task.advance(System.currentTimeMillis());
        if (!task.isRunning()) {
            return;
        }
        task.finish(task.failsByFault() ? TaskState.FAILED : TaskState.SUCCEEDED);
        WorkerEvent.Kind kind =
                task.failsByFault()
                        ? WorkerEvent.Kind.TASK_FAILED
                        : WorkerEvent.Kind.TASK_SUCCEEDED;
        recordEvent(kind, lease, task.id(), NO_TOKEN);
    }

    private void stopTask(HeldLease lease, SimulatedTask task) {
        task.finish(TaskState.STOPPED);
        recordEvent(WorkerEvent.Kind.TASK_STOPPED, lease, task.id(), NO_TOKEN);
    }

    private void extend(HeldLease lease, long ttlMillis) {
        long lapsesAtMillis = System.currentTimeMillis() + ttlMillis;
        lease.extend(
                lapsesAtMillis,
                timers.schedule(() -> endIfLapsed(lease), ttlMillis, TimeUnit.MILLISECONDS));
    }

    /** Called by the lapse timer; does nothing if the lease was extended in the meantime. */
    private synchronized void endIfLapsed(HeldLease lease) {
        if (lease.report(System.currentTimeMillis()).expiresInMillis() == 0L) {
            endLease(lease.id(), WorkerEvent.Kind.LEASE_LAPSED, NO_TOKEN);
        }
    }

    /**
     * Ends a lease and stops its tasks. Also records the identifier of a lease that is not held, so
     * that a later request for that lease is refused.
     */
    private void endLease(String leaseId, WorkerEvent.Kind kind, long token) {
        endedLeaseIds.add(leaseId);
        HeldLease lease = leases.remove(leaseId);
        if (lease == null) {
            return;
        }
        lease.cancelLapseTimer();
        long nowMillis = System.currentTimeMillis();
        for (SimulatedTask task : lease.tasks().values()) {
            task.advance(nowMillis);
            if (task.isRunning()) {
                stopTask(lease, task);
            }
        }
        recordEvent(kind, lease, null, token);
    }

    /** Records a fencing token; returns whether the worker has seen a higher token before. */
    private boolean recordTokenAndTestStale(long token) {
        boolean stale = token < highestToken;
        highestToken = Math.max(highestToken, token);
        return stale;
    }

    private StandInResponse refuseStaleToken(String leaseId, long token) {
        events.add(
                new WorkerEvent(
                        System.currentTimeMillis(),
                        WorkerEvent.Kind.LEASE_REFUSED,
                        leaseId,
                        null,
                        null,
                        null,
                        token));
        return StandInResponse.failure(
                PRECONDITION_FAILED,
                FailureType.VERSION_CONFLICT,
                "token " + token + " is stale: this worker has seen token " + highestToken);
    }

    private StandInResponse refuse(
            String leaseId, LeaseRequest request, FailureType type, String detail) {
        recordEvent(
                WorkerEvent.Kind.LEASE_REFUSED,
                new HeldLease(leaseId, request),
                null,
                request.token());
        return StandInResponse.failure(CONFLICT, type, detail);
    }

    private boolean fits(LeaseRequest request) {
        Set<Integer> freeAccelerators = new HashSet<>();
        for (int i = 0; i < capacity.accelerators(); i++) {
            freeAccelerators.add(i);
        }
        int remainingCpus = capacity.cpus() - request.cpus();
        long remainingMemoryMb = capacity.memoryMb() - request.memoryMb();
        for (HeldLease lease : leases.values()) {
            lease.request().accelerators().forEach(freeAccelerators::remove);
            remainingCpus -= lease.request().cpus();
            remainingMemoryMb -= lease.request().memoryMb();
        }
        return freeAccelerators.containsAll(request.accelerators())
                && remainingCpus >= 0
                && remainingMemoryMb >= 0L;
    }

    private void recordEvent(WorkerEvent.Kind kind, HeldLease lease, String taskId, long token) {
        events.add(
                new WorkerEvent(
                        System.currentTimeMillis(),
                        kind,
                        lease.id(),
                        lease.request().job(),
                        lease.request().attempt(),
                        taskId,
                        token));
    }

    /** Lists the ways in which faults change the start of a task. */
    enum StartMode {
        /** The task runs to its end. */
        REGULAR,
        /** The task fails soon after its start. */
        FAILING,
        /** The response reports a started task, but the task never runs. */
        LOST
    }

    /**
     * Represents the response to a renewal.
     *
     * @param renewed the identifiers of the leases that were renewed
     * @param unknown the identifiers of the leases that the worker does not hold
     */
    record RenewalResponse(List<String> renewed, List<String> unknown) {}

    @FunctionalInterface
    private interface TaskAction {
        void apply(HeldLease lease, SimulatedTask task);
    }
}
