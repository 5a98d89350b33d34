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
 * Sends requests to workers. Every future that fails does so with a {@link SchedulerException}.
 *
 * <p>Workers treat all requests as idempotent, so a caller may repeat a request whose response was
 * lost. Besides the failures that a method names, each future may fail with {@code
 * WORKER_UNREACHABLE} if the worker did not respond or responded with an unexpected status, and
 * with {@code WORKER_INVALID_ANSWER} if the response cannot be parsed.
 */
public final class WorkerClient implements AutoCloseable {
    /** The maximum time of a call. */
    public static final Duration CALL_TIMEOUT =
            Duration.ofMillis(LeaseTimings.DEFAULT.callTimeoutMillis());

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_CONCURRENT_CALLS = 32;
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_PRECONDITION_FAILED = 412;

    private final HttpClient httpClient = new HttpClient(MAX_CONCURRENT_CALLS, CONNECT_TIMEOUT);

    /** Creates a client. */
    public WorkerClient() {}

    /**
     * Fetches the report of a worker on its leases and tasks.
     *
     * @param address the "address:port" of the worker, not null
     * @return a future of the report
     */
    public CompletableFuture<WorkerReport> fetchReport(String address) {
        return send(
                "GET", address, "/v1/worker", null, response -> response.read(WorkerReport.class));
    }

    /**
     * Requests a lease from a worker.
     *
     * @param address the "address:port" of the worker, not null
     * @param lease the identifier of the lease, not null
     * @param request the gang attempt, the resources and the duration of the lease, not null
     * @return a future that completes when the lease is granted; it fails with {@code
     *     LEASE_REFUSED} if the worker refuses the lease, and with {@code STALE_EPOCH} if the
     *     worker has seen a higher epoch
     */
    public CompletableFuture<Void> requestLease(
            String address, String lease, LeaseRequest request) {
        return send("PUT", address, "/v1/leases/" + lease, request, response -> null);
    }

    /**
     * Renews leases on a worker.
     *
     * @param address the "address:port" of the worker, not null
     * @param leases the identifiers of the leases, not null
     * @param ttl the time after which the renewed leases lapse unless renewed again, not null
     * @return a future of the leases that were renewed and of the leases that the worker does not
     *     hold
     */
    public CompletableFuture<RenewalResult> renewLeases(
            String address, List<String> leases, Duration ttl) {
        LeaseRenewal renewal = new LeaseRenewal(leases, ttl.toMillis());
        return send(
                "POST",
                address,
                "/v1/leases/renew",
                renewal,
                response -> response.read(RenewalResult.class));
    }

    /**
     * Releases a lease on a worker. The worker stops the tasks of the lease and frees its
     * resources.
     *
     * @param address the "address:port" of the worker, not null
     * @param lease the identifier of the lease, not null
     * @param token the fencing token, which is the epoch of the planner
     * @return a future that completes when the worker does not hold the lease and will not grant a
     *     lease with this identifier again; it fails with {@code STALE_EPOCH} if the worker has
     *     seen a higher epoch
     */
    public CompletableFuture<Void> releaseLease(String address, String lease, long token) {
        String path = "/v1/leases/" + lease + "?token=" + token;
        return send("DELETE", address, path, null, response -> null);
    }

    /**
     * Starts a task under a lease.
     *
     * @param address the "address:port" of the worker, not null
     * @param lease the identifier of the lease, not null
     * @param task the identifier of the task, not null
     * @param request the command and its run time, not null
     * @return a future that completes when the worker has confirmed the start; it fails with {@code
     *     LEASE_REFUSED} if the worker no longer holds the lease
     */
    public CompletableFuture<Void> startTask(
            String address, String lease, String task, TaskRequest request) {
        return send("PUT", address, taskPath(lease, task), request, response -> null);
    }

    /**
     * Asks a worker to save a checkpoint of a task.
     *
     * @param address the "address:port" of the worker, not null
     * @param lease the identifier of the lease, not null
     * @param task the identifier of the task, not null
     * @return a future of the report on the task, which contains the new checkpoint
     */
    public CompletableFuture<TaskReport> checkpointTask(String address, String lease, String task) {
        String path = taskPath(lease, task) + "/checkpoint";
        return send("POST", address, path, Map.of(), response -> response.read(TaskReport.class));
    }

    /** Cancels all calls in progress. */
    @Override
    public void close() {
        httpClient.close();
    }

    private static String taskPath(String lease, String task) {
        return "/v1/leases/" + lease + "/tasks/" + task;
    }

    private <T> CompletableFuture<T> send(
            String method,
            String address,
            String path,
            Object body,
            Function<HttpClientResponse, T> reader) {
        Objects.requireNonNull(address, "address");
        Request request = HttpClient.request(method, address, path, body).build();
        return httpClient
                .send(request, CALL_TIMEOUT)
                .handle((response, error) -> readResponse(address, response, error, reader));
    }

    private static <T> T readResponse(
            String address,
            HttpClientResponse response,
            Throwable error,
            Function<HttpClientResponse, T> reader) {
        if (error != null) {
            throw new SchedulerException(
                    FailureType.WORKER_UNREACHABLE,
                    "worker at "
                            + address
                            + " did not respond: "
                            + Failures.causeOf(error).getMessage(),
                    0L,
                    error);
        }
        if (!response.isSuccess()) {
            throw toFailure(address, response.status());
        }
        try {
            return reader.apply(response);
        } catch (SchedulerException e) {
            throw new SchedulerException(
                    FailureType.WORKER_INVALID_ANSWER,
                    "worker at " + address + " sent a response that cannot be parsed",
                    0L,
                    e);
        }
    }

    private static SchedulerException toFailure(String address, int status) {
        FailureType type =
                switch (status) {
                    case STATUS_CONFLICT -> FailureType.LEASE_REFUSED;
                    case STATUS_PRECONDITION_FAILED -> FailureType.STALE_EPOCH;
                    default -> FailureType.WORKER_UNREACHABLE;
                };
        return new SchedulerException(
                type, "worker at " + address + " responded with status " + status);
    }
}
