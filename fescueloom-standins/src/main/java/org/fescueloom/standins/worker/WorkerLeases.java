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
import org.fescueloom.standins.StandInReply;
import org.fescueloom.wire.LeaseRenewal;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.TaskState;
import org.fescueloom.wire.WorkerCapacity;

/** Grants leases, runs tasks under them and records each step. Safe for use by several threads. */
final class WorkerLeases {
    private static final long FAILING_TASK_MILLIS = 20L;
    private static final long NO_TOKEN = -1L;
    private static final int CONFLICT = 409;
    private static final int STALE_TOKEN = 412;
    private static final int FULL_PERCENT = 100;

    private final WorkerCapacity capacity;
    private final ScheduledExecutorService timers;
    private final Map<String, HeldLease> leases = new LinkedHashMap<>();
    private final Set<String> barred = new HashSet<>();
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
        long now = System.currentTimeMillis();
        leases.values().forEach(l -> l.tasks().values().forEach(t -> t.advance(now)));
        return leases.values().stream().map(l -> l.report(now)).toList();
    }

    synchronized WorkerUsage usage() {
        List<LeaseRequest> busy =
                leases.values().stream()
                        .filter(l -> l.tasks().values().stream().anyMatch(PretendTask::isRunning))
                        .map(HeldLease::request)
                        .toList();
        int accelerators = busy.stream().mapToInt(r -> r.accelerators().size()).sum();
        int cpus = busy.stream().mapToInt(LeaseRequest::cpus).sum();
        long memory = busy.stream().mapToLong(LeaseRequest::memoryMb).sum();
        return new WorkerUsage(System.currentTimeMillis(), accelerators, cpus, memory);
    }

    synchronized StandInReply grant(String id, LeaseRequest request) {
        if (isStale(request.token())) {
            return staleToken(id, request.token());
        }
        HeldLease held = leases.get(id);
        if (held != null && held.sameAs(request)) {
            return StandInReply.json(200, held.report(System.currentTimeMillis()));
        }
        if (held != null || barred.contains(id)) {
            return refuse(
                    id, request, FailureType.IDENTIFIER_REUSED, "the lease id was used before");
        }
        if (request.ttlMillis() < 1L) {
            return StandInReply.failure(400, FailureType.INVALID_FIELD, "ttlMillis is below 1");
        }
        if (!fits(request)) {
            return refuse(
                    id, request, FailureType.OVERLOADED, "accelerators, cores or memory taken");
        }
        HeldLease lease = new HeldLease(id, request);
        leases.put(id, lease);
        extend(lease, request.ttlMillis());
        note(WorkerEvent.Kind.LEASE_GRANTED, lease, null, request.token());
        return StandInReply.json(200, lease.report(System.currentTimeMillis()));
    }

    synchronized RenewalReply renew(LeaseRenewal renewal) {
        List<String> renewed = new ArrayList<>();
        List<String> unknown = new ArrayList<>();
        for (String id : renewal.leases()) {
            HeldLease lease = leases.get(id);
            if (lease == null) {
                unknown.add(id);
            } else {
                extend(lease, renewal.ttlMillis());
                renewed.add(id);
            }
        }
        return new RenewalReply(renewed, unknown);
    }

    synchronized StandInReply release(String id, long token) {
        if (isStale(token)) {
            return staleToken(id, token);
        }
        end(id, WorkerEvent.Kind.LEASE_RELEASED, token);
        return StandInReply.json(200, report());
    }

    synchronized StandInReply start(
            String leaseId, String taskId, TaskRequest request, TaskStart how) {
        HeldLease lease = leases.get(leaseId);
        if (lease == null) {
            return StandInReply.failure(CONFLICT, FailureType.NOT_FOUND, "no such lease");
        }
        PretendTask known = lease.tasks().get(taskId);
        if (known != null) {
            return StandInReply.json(200, known.report());
        }
        long now = System.currentTimeMillis();
        PretendTask task = new PretendTask(taskId, request, how == TaskStart.FAILING, now);
        if (how == TaskStart.LOST) {
            note(WorkerEvent.Kind.TASK_START_LOST, lease, taskId, NO_TOKEN);
            return StandInReply.json(200, task.report());
        }
        lease.tasks().put(taskId, task);
        planEnd(lease, task);
        note(WorkerEvent.Kind.TASK_STARTED, lease, taskId, NO_TOKEN);
        return StandInReply.json(200, task.report());
    }

    synchronized StandInReply checkpoint(String leaseId, String taskId) {
        return onTask(leaseId, taskId, (lease, task) -> task.checkpoint());
    }

    synchronized StandInReply stop(String leaseId, String taskId) {
        return onTask(leaseId, taskId, this::stopTask);
    }

    synchronized StandInReply throttle(String leaseId, String taskId, int percent) {
        if (percent < 0 || percent > FULL_PERCENT) {
            throw new IllegalArgumentException("percent is out of range: " + percent);
        }
        return onTask(
                leaseId,
                taskId,
                (lease, task) -> {
                    task.throttle(percent);
                    planEnd(lease, task);
                });
    }

    private StandInReply onTask(String leaseId, String taskId, TaskAction action) {
        HeldLease lease = leases.get(leaseId);
        PretendTask task = lease == null ? null : lease.tasks().get(taskId);
        if (task == null) {
            return StandInReply.failure(404, FailureType.NOT_FOUND, "no such lease or task");
        }
        task.advance(System.currentTimeMillis());
        if (task.isRunning()) {
            action.apply(lease, task);
        }
        TaskReport report = task.report();
        return StandInReply.json(200, report);
    }

    private void planEnd(HeldLease lease, PretendTask task) {
        long wait = task.fails() ? FAILING_TASK_MILLIS : task.remainingMillis();
        if (wait < 0L) {
            task.plan(null);
            return;
        }
        task.plan(timers.schedule(() -> endTask(lease, task), wait, TimeUnit.MILLISECONDS));
    }

    private synchronized void endTask(HeldLease lease, PretendTask task) {
        task.advance(System.currentTimeMillis());
        if (!task.isRunning()) {
            return;
        }
        task.finish(task.fails() ? TaskState.FAILED : TaskState.SUCCEEDED);
        WorkerEvent.Kind kind =
                task.fails() ? WorkerEvent.Kind.TASK_FAILED : WorkerEvent.Kind.TASK_SUCCEEDED;
        note(kind, lease, task.id(), NO_TOKEN);
    }

    private void stopTask(HeldLease lease, PretendTask task) {
        task.finish(TaskState.STOPPED);
        note(WorkerEvent.Kind.TASK_STOPPED, lease, task.id(), NO_TOKEN);
    }

    private void extend(HeldLease lease, long ttlMillis) {
        long until = System.currentTimeMillis() + ttlMillis;
        lease.extend(until, timers.schedule(() -> lapse(lease), ttlMillis, TimeUnit.MILLISECONDS));
    }

    private synchronized void lapse(HeldLease lease) {
        if (lease.report(System.currentTimeMillis()).expiresInMillis() == 0L) {
            end(lease.id(), WorkerEvent.Kind.LEASE_LAPSED, NO_TOKEN);
        }
    }

    private void end(String id, WorkerEvent.Kind kind, long token) {
        barred.add(id);
        HeldLease lease = leases.remove(id);
        if (lease == null) {
            return;
        }
        lease.cancelExpiry();
        long now = System.currentTimeMillis();
        for (PretendTask task : lease.tasks().values()) {
            task.advance(now);
            if (task.isRunning()) {
                stopTask(lease, task);
            }
        }
        note(kind, lease, null, token);
    }

    private boolean isStale(long token) {
        boolean stale = token < highestToken;
        highestToken = Math.max(highestToken, token);
        return stale;
    }

    private StandInReply staleToken(String id, long token) {
        events.add(
                new WorkerEvent(
                        System.currentTimeMillis(),
                        WorkerEvent.Kind.LEASE_REFUSED,
                        id,
                        null,
                        null,
                        null,
                        token));
        return StandInReply.failure(
                STALE_TOKEN,
                FailureType.VERSION_CONFLICT,
                "token " + token + " is below " + highestToken);
    }

    private StandInReply refuse(String id, LeaseRequest request, FailureType type, String detail) {
        note(WorkerEvent.Kind.LEASE_REFUSED, new HeldLease(id, request), null, request.token());
        return StandInReply.failure(CONFLICT, type, detail);
    }

    private boolean fits(LeaseRequest request) {
        Set<Integer> free = new HashSet<>();
        for (int i = 0; i < capacity.accelerators(); i++) {
            free.add(i);
        }
        int cpus = capacity.cpus() - request.cpus();
        long memory = capacity.memoryMb() - request.memoryMb();
        for (HeldLease lease : leases.values()) {
            lease.request().accelerators().forEach(free::remove);
            cpus -= lease.request().cpus();
            memory -= lease.request().memoryMb();
        }
        return free.containsAll(request.accelerators()) && cpus >= 0 && memory >= 0L;
    }

    private void note(WorkerEvent.Kind kind, HeldLease lease, String task, long token) {
        events.add(
                new WorkerEvent(
                        System.currentTimeMillis(),
                        kind,
                        lease.id(),
                        lease.request().job(),
                        lease.request().attempt(),
                        task,
                        token));
    }

    /** Names how a fault changes the start of a task. */
    enum TaskStart {
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
    record RenewalReply(List<String> renewed, List<String> unknown) {}

    @FunctionalInterface
    private interface TaskAction {
        void apply(HeldLease lease, PretendTask task);
    }
}
