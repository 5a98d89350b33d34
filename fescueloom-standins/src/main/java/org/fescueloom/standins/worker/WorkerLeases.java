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

/** Grants leases, runs tasks under them and records each step. Safe for use by several threads. */
final class WorkerLeases {
    private static final long FAILURE_DELAY_MILLIS = 20L;
    private static final long NO_TOKEN = -1L;
    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;
    private static final int FULL_PERCENT = 100;

    private final WorkerCapacity capacity;
    private final ScheduledExecutorService timers;
    private final Map<String, HeldLease> leases = new LinkedHashMap<>();
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
                    "the lease id was used before");
        }
        if (request.ttlMillis() < 1L) {
            return StandInResponse.failure(400, FailureType.INVALID_FIELD, "ttlMillis is below 1");
        }
        if (!fits(request)) {
            return refuse(
                    leaseId,
                    request,
                    FailureType.OVERLOADED,
                    "accelerators, cores or memory taken");
        }
        HeldLease lease = new HeldLease(leaseId, request);
        leases.put(leaseId, lease);
        extend(lease, request.ttlMillis());
        recordEvent(WorkerEvent.Kind.LEASE_GRANTED, lease, null, request.token());
        return StandInResponse.json(200, lease.report(System.currentTimeMillis()));
    }

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

    synchronized StandInResponse release(String leaseId, long token) {
        if (recordTokenAndTestStale(token)) {
            return refuseStaleToken(leaseId, token);
        }
        endLease(leaseId, WorkerEvent.Kind.LEASE_RELEASED, token);
        return StandInResponse.json(200, report());
    }

    synchronized StandInResponse start(
            String leaseId, String taskId, TaskRequest request, StartMode mode) {
        HeldLease lease = leases.get(leaseId);
        if (lease == null) {
            return StandInResponse.failure(CONFLICT, FailureType.NOT_FOUND, "no such lease");
        }
        SimulatedTask existing = lease.tasks().get(taskId);
        if (existing != null) {
            return StandInResponse.json(200, existing.report());
        }
        long nowMillis = System.currentTimeMillis();
        SimulatedTask task =
                new SimulatedTask(taskId, request, mode == StartMode.FAILING, nowMillis);
        if (mode == StartMode.LOST) {
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
            throw new IllegalArgumentException("percent is out of range: " + speedPercent);
        }
        return applyToRunningTask(
                leaseId,
                taskId,
                (lease, task) -> {
                    task.throttle(speedPercent);
                    scheduleEnd(lease, task);
                });
    }

    private StandInResponse applyToRunningTask(String leaseId, String taskId, TaskAction action) {
        HeldLease lease = leases.get(leaseId);
        SimulatedTask task = lease == null ? null : lease.tasks().get(taskId);
        if (task == null) {
            return StandInResponse.failure(404, FailureType.NOT_FOUND, "no such lease or task");
        }
        task.advance(System.currentTimeMillis());
        if (task.isRunning()) {
            action.apply(lease, task);
        }
        TaskReport report = task.report();
        return StandInResponse.json(200, report);
    }

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
        long expiresAtMillis = System.currentTimeMillis() + ttlMillis;
        lease.extend(
                expiresAtMillis,
                timers.schedule(() -> endIfLapsed(lease), ttlMillis, TimeUnit.MILLISECONDS));
    }

    private synchronized void endIfLapsed(HeldLease lease) {
        if (lease.report(System.currentTimeMillis()).expiresInMillis() == 0L) {
            endLease(lease.id(), WorkerEvent.Kind.LEASE_LAPSED, NO_TOKEN);
        }
    }

    private void endLease(String leaseId, WorkerEvent.Kind kind, long token) {
        endedLeaseIds.add(leaseId);
        HeldLease lease = leases.remove(leaseId);
        if (lease == null) {
            return;
        }
        lease.cancelExpiryTimer();
        long nowMillis = System.currentTimeMillis();
        for (SimulatedTask task : lease.tasks().values()) {
            task.advance(nowMillis);
            if (task.isRunning()) {
                stopTask(lease, task);
            }
        }
        recordEvent(kind, lease, null, token);
    }

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
                "token " + token + " is below " + highestToken);
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

    /** Names how a fault changes the start of a task. */
    enum StartMode {
        REGULAR,
        FAILING,
        LOST
    }

    /**
     * Answers a renewal.
     *
     * @param renewed the leases that were renewed
     * @param unknown the leases that the worker does not hold
     */
    record RenewalResponse(List<String> renewed, List<String> unknown) {}

    @FunctionalInterface
    private interface TaskAction {
        void apply(HeldLease lease, SimulatedTask task);
    }
}
