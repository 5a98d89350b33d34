package org.fescueloom.standins.worker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.TaskReport;

/**
 * Holds one lease and the tasks that were started under it.
 *
 * <p>Guarded by the lock of {@link WorkerLeases}.
 */
final class HeldLease {
    private final String id;
    private final LeaseRequest request;
    private final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();
    private long lapsesAtMillis;
    private Future<?> lapseTimer;

    HeldLease(String id, LeaseRequest request) {
        this.id = id;
        this.request = request;
    }

    String id() {
        return id;
    }

    LeaseRequest request() {
        return request;
    }

    Map<String, SimulatedTask> tasks() {
        return tasks;
    }

    /** Sets the time at which the lease lapses, and replaces the timer for that time. */
    void extend(long newLapsesAtMillis, Future<?> timer) {
        cancelLapseTimer();
        lapsesAtMillis = newLapsesAtMillis;
        lapseTimer = timer;
    }

    void cancelLapseTimer() {
        if (lapseTimer != null) {
            lapseTimer.cancel(false);
        }
    }

    /**
     * Returns whether a request repeats the request for this lease: the job, the gang attempt and
     * the resources are equal. The token and the time to live may differ.
     */
    boolean isRequestedBy(LeaseRequest other) {
        return request.job().equals(other.job())
                && request.attempt().equals(other.attempt())
                && request.accelerators().equals(other.accelerators())
                && request.cpus() == other.cpus()
                && request.memoryMb() == other.memoryMb();
    }

    LeaseReport report(long nowMillis) {
        List<TaskReport> taskReports = tasks.values().stream().map(SimulatedTask::report).toList();
        return new LeaseReport(
                id,
                request.job(),
                request.attempt(),
                request.accelerators(),
                Math.max(0L, lapsesAtMillis - nowMillis),
                taskReports);
    }
}
