package org.fescueloom.daemon.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import okhttp3.Request;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.gang.LeaseTimings;
import org.fescueloom.wire.LeaseRenewal;
import org.fescueloom.wire.LeaseRequest;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskRequest;
import org.fescueloom.wire.WorkerReport;

/**
 * Calls workers; every failure is a typed one.
 *
 * <p>All calls are idempotent at the worker, so a caller may repeat one whose answer was lost.
 */
public final class WorkerClient implements AutoCloseable {
    /** The longest time that a call waits for its answer. */
    public static final Duration CALL_TIMEOUT =
            Duration.ofMillis(LeaseTimings.DEFAULT.callTimeoutMillis());

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_CONCURRENT_CALLS = 32;
    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;

    private final HttpClient http = new HttpClient(MAX_CONCURRENT_CALLS, CONNECT_TIMEOUT);

    /** Creates a client. */
    public WorkerClient() {}

    /**
     * Asks a worker what it holds.
     *
     * @param address the "address:port" of the worker, not null
     * @return a future of the report
     */
    public CompletableFuture<WorkerReport> fetchReport(String address) {
        return call("GET", address, "/v1/worker", null, a -> a.read(WorkerReport.class));
    }

    /**
     * Asks a worker for a lease.
     *
     * @param address the "address:port" of the worker, not null
     * @param lease the identifier of the lease, not null
     * @param request what the lease is for, not null
     * @return a future that ends when the lease is granted; it fails with {@code LEASE_REFUSED} or
     *     {@code STALE_EPOCH}
     */
    public CompletableFuture<Void> requestLease(
            String address, String lease, LeaseRequest request) {
        return call("PUT", address, "/v1/leases/" + lease, request, a -> null);
    }

    /**
     * Asks a worker to renew leases.
     *
     * @param address the "address:port" of the worker, not null
     * @param leases the leases, not null
     * @param ttl the time from now after which they lapse, not null
     * @return a future of the leases that were renewed and of those that are not held
     */
    public CompletableFuture<RenewalResult> renewLeases(
            String address, List<String> leases, Duration ttl) {
        LeaseRenewal renewal = new LeaseRenewal(leases, ttl.toMillis());
        return call(
                "POST",
                address,
                "/v1/leases/renew",
                renewal,
                answer -> answer.read(RenewalResult.class));
    }

    /**
     * Asks a worker to stop the tasks of a lease and to free what it holds.
     *
     * @param address the "address:port" of the worker, not null
     * @param lease the identifier of the lease, not null
     * @param token the epoch on whose behalf the lease is released
     * @return a future that ends when the lease is gone and barred; it fails with {@code
     *     STALE_EPOCH} if the worker has seen a higher epoch
     */
    public CompletableFuture<Void> releaseLease(String address, String lease, long token) {
        String path = "/v1/leases/" + lease + "?token=" + token;
        return call("DELETE", address, path, null, a -> null);
    }

    /**
     * Asks a worker to start a task under a lease.
     *
     * @param address the "address:port" of the worker, not null
     * @param lease the identifier of the lease, not null
     * @param task the identifier of the task, not null
     * @param request what to run, not null
     * @return a future that ends when the task is started; it fails with {@code LEASE_REFUSED} if
     *     the worker no longer holds the lease
     */
    public CompletableFuture<Void> startTask(
            String address, String lease, String task, TaskRequest request) {
        return call("PUT", address, taskPath(lease, task), request, a -> null);
    }

    /**
     * Asks a worker to save the progress of a task.
     *
     * @param address the "address:port" of the worker, not null
     * @param lease the identifier of the lease, not null
     * @param task the identifier of the task, not null
     * @return a future of the task's report with the new checkpoint
     */
    public CompletableFuture<TaskReport> checkpointTask(String address, String lease, String task) {
        String path = taskPath(lease, task) + "/checkpoint";
        return call("POST", address, path, Map.of(), a -> a.read(TaskReport.class));
    }

    /** Ends all calls. */
    @Override
    public void close() {
        http.close();
    }

    private static String taskPath(String lease, String task) {
        return "/v1/leases/" + lease + "/tasks/" + task;
    }

    private <T> CompletableFuture<T> call(
            String method,
            String address,
            String path,
            Object body,
            Function<HttpClientResponse, T> reader) {
        Objects.requireNonNull(address, "address");
        Request request = HttpClient.request(method, address, path, body).build();
        return http.send(request, CALL_TIMEOUT)
                .handle((answer, error) -> readResponse(address, answer, error, reader));
    }

    private static <T> T readResponse(
            String address,
            HttpClientResponse answer,
            Throwable error,
            Function<HttpClientResponse, T> reader) {
        if (error != null) {
            throw new SchedulerException(
                    FailureType.WORKER_UNREACHABLE,
                    "worker at "
                            + address
                            + " gave no answer: "
                            + Failures.causeOf(error).getMessage(),
                    0L,
                    error);
        }
        if (!answer.isSuccess()) {
            throw toFailure(address, answer.status());
        }
        try {
            return reader.apply(answer);
        } catch (SchedulerException e) {
            throw new SchedulerException(
                    FailureType.WORKER_INVALID_ANSWER,
                    "worker at " + address + " answered what cannot be read",
                    0L,
                    e);
        }
    }

    private static SchedulerException toFailure(String address, int status) {
        FailureType type =
                switch (status) {
                    case CONFLICT -> FailureType.LEASE_REFUSED;
                    case PRECONDITION_FAILED -> FailureType.STALE_EPOCH;
                    default -> FailureType.WORKER_UNREACHABLE;
                };
        return new SchedulerException(
                type, "worker at " + address + " answered with status " + status);
    }
}
