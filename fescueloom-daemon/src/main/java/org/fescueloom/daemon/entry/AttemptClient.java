package org.fescueloom.daemon.entry;

import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AttemptAnswer;
import org.fescueloom.request.AttemptId;
import org.fescueloom.wire.AgentStatus;
import org.fescueloom.wire.AttemptState;
import org.fescueloom.wire.Headers;
import org.fescueloom.wire.OccupancyHeader;

/**
 * Sends attempts to agents, and asks agents on new connections for the outcome of attempts.
 *
 * <p>Attempts are sent on pooled connections. When a connection to an agent cannot be opened, all
 * idle connections of the pool are closed.
 */
final class AttemptClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final RequestBody EMPTY_BODY = RequestBody.create(new byte[0], null);
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Sends attempts and keeps the connections open between calls. */
    private final HttpClient pooledClient;

    /** Opens a new connection for each call that requests the state of an attempt or cancels it. */
    private final HttpClient unpooledClient;

    private final BiConsumer<AgentTarget, AgentStatus> onOccupancy;

    /**
     * Creates a client.
     *
     * @param maxAttempts the maximum number of attempts in flight, at least 1
     * @param maxOtherCalls the maximum number of other calls in flight, which request the state of
     *     an attempt or cancel an attempt, at least 1
     * @param onOccupancy receives the status of the upstream from each response of an agent that
     *     contains one, not null
     */
    AttemptClient(
            int maxAttempts, int maxOtherCalls, BiConsumer<AgentTarget, AgentStatus> onOccupancy) {
        this.pooledClient = new HttpClient(maxAttempts, CONNECT_TIMEOUT);
        this.unpooledClient = new HttpClient(maxOtherCalls, CONNECT_TIMEOUT, 0);
        this.onOccupancy = onOccupancy;
    }

    /**
     * Holds an attempt that was sent.
     *
     * @param call the HTTP call; cancelling this future ends the call
     * @param report the result of the call, which never fails
     */
    record SentAttempt(
            CompletableFuture<HttpClientResponse> call, CompletableFuture<AttemptReport> report) {}

    /**
     * Sends an attempt.
     *
     * @param id the attempt, not null
     * @param input the request, not null
     * @param agent the agent, not null
     * @param timeLeftNanos the time until the deadline, in nanoseconds
     * @param timeout the maximum time to wait for the response, not null
     * @return the sent attempt, never null
     */
    SentAttempt send(
            AttemptId id,
            RequestInput input,
            AgentTarget agent,
            long timeLeftNanos,
            Duration timeout) {
        Request request =
                attemptRequest(id, agent, "")
                        .header(Headers.REQUEST_ID, input.id())
                        .header(Headers.CUSTOMER, input.customer())
                        .header(Headers.SERVICE_CLASS, input.serviceClass().name())
                        .header(Headers.IDEMPOTENT, Boolean.toString(input.idempotent()))
                        .header(Headers.DEADLINE_MILLIS, Long.toString(timeLeftNanos / 1_000_000))
                        .post(
                                RequestBody.create(
                                        input.body(), MediaType.parse(input.contentType())))
                        .build();
        CompletableFuture<HttpClientResponse> call = pooledClient.send(request, timeout);
        return new SentAttempt(
                call, call.handle((response, error) -> sendReport(id, agent, response, error)));
    }

    /**
     * Asks the agent on a new connection for the state of an attempt. An attempt that has not
     * arrived at the agent is cancelled; a queued attempt stays queued and is reported as running.
     *
     * @param id the attempt, not null
     * @param agent the agent, not null
     * @param waitMillis the time for which the agent may delay its response while the attempt is
     *     running, in milliseconds
     * @param timeout the maximum time to wait for the response, not null
     * @return a future of the report, which never fails
     */
    CompletableFuture<AttemptReport> requestState(
            AttemptId id, AgentTarget agent, long waitMillis, Duration timeout) {
        String path = "/resolve?queued=keep&waitMillis=" + waitMillis;
        Request request = attemptRequest(id, agent, path).post(EMPTY_BODY).build();
        return unpooledClient
                .send(request, timeout)
                .handle((response, error) -> stateReport(id, agent, response, error));
    }

    /**
     * Cancels an attempt, because no caller waits for it any more. The agent cancels the attempt
     * only if it has not started at the upstream. The result of the call is ignored.
     *
     * @param id the attempt, not null
     * @param agent the agent, not null
     */
    void cancel(AttemptId id, AgentTarget agent) {
        unpooledClient.send(
                attemptRequest(id, agent, "/cancel").post(EMPTY_BODY).build(), CONNECT_TIMEOUT);
    }

    /** Closes the idle connections for attempts. */
    void closeIdleConnections() {
        pooledClient.closeIdleConnections();
    }

    /** Cancels all calls and closes all connections. */
    @Override
    public void close() {
        pooledClient.close();
        unpooledClient.close();
    }

    private static Request.Builder attemptRequest(
            AttemptId id, AgentTarget agent, String pathSuffix) {
        return new Request.Builder()
                .url("http://" + agent.address() + "/internal/attempts/" + id + pathSuffix)
                .header(Headers.AGENT_INCARNATION, Long.toString(agent.incarnation()));
    }

    private AttemptReport sendReport(
            AttemptId id, AgentTarget agent, HttpClientResponse response, Throwable error) {
        if (error != null) {
            Throwable cause = Failures.causeOf(error);
            closeIdleIfNotConnected(cause);
            return cause instanceof ConnectException
                    ? AttemptReport.failed(
                            FailureType.UPSTREAM_UNREACHABLE,
                            "cannot connect to the agent: " + cause)
                    : AttemptReport.noResponse("the call to the agent failed: " + cause);
        }
        notifyOccupancy(agent, response);
        if (response.isSuccess()) {
            boolean sameAttempt =
                    response.header(Headers.ATTEMPT_ID).filter(id.toString()::equals).isPresent();
            return sameAttempt
                    ? readResponse(response)
                    : AttemptReport.noResponse(
                            "the response of the agent belongs to another attempt");
        }
        return readFailure(response);
    }

    private AttemptReport stateReport(
            AttemptId id, AgentTarget agent, HttpClientResponse response, Throwable error) {
        if (error != null) {
            Throwable cause = Failures.causeOf(error);
            closeIdleIfNotConnected(cause);
            return cause instanceof ConnectException
                    ? AttemptReport.notConnected("cannot connect to the agent: " + cause)
                    : AttemptReport.noResponse("the call to the agent failed: " + cause);
        }
        notifyOccupancy(agent, response);
        if (!response.isSuccess()) {
            return readFailure(response);
        }
        String state = response.header(Headers.ATTEMPT_STATE).orElse("");
        if (state.equals(AttemptState.ANSWERED.text())) {
            return readResponse(response);
        }
        if (state.equals(AttemptState.CANCELLED.text())) {
            return AttemptReport.failed(
                    FailureType.ATTEMPT_CANCELLED, "attempt " + id + " never started");
        }
        if (state.equals(AttemptState.UNKNOWN.text())) {
            return AttemptReport.failed(
                    FailureType.OUTCOME_UNKNOWN, "the agent does not know whether the attempt ran");
        }
        return state.equals(AttemptState.RUNNING.text())
                ? AttemptReport.running()
                : AttemptReport.noResponse(
                        "the response of the agent contains no known state of the attempt");
    }

    /**
     * Closes the idle connections if a connection could not be opened. An idle connection to a
     * stopped process would otherwise fail only when it is used.
     */
    private void closeIdleIfNotConnected(Throwable cause) {
        if (cause instanceof ConnectException) {
            pooledClient.closeIdleConnections();
        }
    }

    private static AttemptReport readResponse(HttpClientResponse response) {
        Optional<Integer> status = response.header(Headers.UPSTREAM_STATUS).map(Integer::valueOf);
        if (status.isEmpty()) {
            return AttemptReport.noResponse(
                    "the response of the agent contains no status of the upstream");
        }
        return AttemptReport.answered(
                new AttemptAnswer(
                        status.get(),
                        response.header("Content-Type").orElse(null),
                        response.body()));
    }

    private static AttemptReport readFailure(HttpClientResponse response) {
        try {
            FailureBody body = response.read(FailureBody.class);
            long retryMillis =
                    response.header("Retry-After").map(Long::valueOf).orElse(0L)
                            * MILLIS_PER_SECOND;
            return AttemptReport.failed(
                    new SchedulerException(body.error(), body.detail(), retryMillis));
        } catch (SchedulerException | NumberFormatException e) {
            return AttemptReport.noResponse(
                    "the response of the agent is not readable: " + e.getMessage());
        }
    }

    private void notifyOccupancy(AgentTarget agent, HttpClientResponse response) {
        Optional<String> text = response.header(Headers.AGENT_OCCUPANCY);
        text.flatMap(value -> OccupancyHeader.parse(agent.upstream(), value))
                .ifPresent(status -> onOccupancy.accept(agent, status));
    }
}
