package org.fescueloom.standins.worker;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.TaskReport;

/** Holds one lease with its tasks. Guarded by the lock of its worker. */
final class HeldLease {
    private final String id;
    private final LeaseRequest request;
    private final Map<String, PretendTask> tasks = new LinkedHashMap<>();
    private long expiresMillis;
    private Future<?> expiry;

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

    Map<String, PretendTask> tasks() {
        return tasks;
    }

    void extend(long untilMillis, Future<?> timer) {
        cancelExpiry();
        expiresMillis = untilMillis;
        expiry = timer;
    }

    void cancelExpiry() {
        if (expiry != null) {
            expiry.cancel(false);
        }
    }

    /**
     * Tells whether a repeated request asks for what this lease holds; token and time may differ.
     */
    boolean sameAs(LeaseRequest other) {
        return request.job().equals(other.job())
                && request.attempt().equals(other.attempt())
                && request.accelerators().equals(other.accelerators())
                && request.cpus() == other.cpus()
                && request.memoryMb() == other.memoryMb();
    }

    LeaseReport report(long nowMillis) {
        List<TaskReport> reports = tasks.values().stream().map(PretendTask::report).toList();
        return new LeaseReport(
                id,
                request.job(),
                request.attempt(),
                request.accelerators(),
                Math.max(0L, expiresMillis - nowMillis),
                reports);
    }
}
