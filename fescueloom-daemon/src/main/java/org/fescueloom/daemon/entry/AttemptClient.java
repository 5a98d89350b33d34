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
 * Sends attempts to agents, and asks on fresh connections what became of them.
 *
 * <p>Connections for attempts are kept open between calls, but all idle ones are closed as soon as
 * one has fallen silent.
 */
final class AttemptClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final RequestBody EMPTY_BODY = RequestBody.create(new byte[0], null);
    private static final long MILLIS_PER_SECOND = 1_000;

    private final HttpClient pooledClient;
    private final HttpClient unpooledClient;
    private final BiConsumer<AgentTarget, AgentStatus> onOccupancy;

    /**
     * Creates a client.
     *
     * @param maxAttempts the most attempts in flight, at least 1
     * @param maxQuestions the most questions in flight, at least 1
     * @param onOccupancy takes what agents say of their upstreams, not null
     */
    AttemptClient(
            int maxAttempts,
            int maxResolveCalls,
            BiConsumer<AgentTarget, AgentStatus> onOccupancy) {
        this.pooledClient = new HttpClient(maxAttempts, CONNECT_TIMEOUT);
        this.unpooledClient = new HttpClient(maxResolveCalls, CONNECT_TIMEOUT, 0);
        this.onOccupancy = onOccupancy;
    }

    /** Is an attempt that was sent; the call ends when it is cancelled. */
    record SentAttempt(
            CompletableFuture<HttpClientResponse> call, CompletableFuture<AttemptReport> report) {}

    /**
     * Sends an attempt.
     *
     * @param id the attempt, not null
     * @param input the request, not null
     * @param agent the agent, not null
     * @param leftNanos the time until the deadline, in nanoseconds
     * @param timeout the longest time to wait, not null
     * @return the call and a future of its report, which never fails
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
     * Asks on a fresh connection what became of an attempt; one that never arrived is cancelled.
     *
     * @param id the attempt, not null
     * @param agent the agent, not null
     * @param waitMillis how long the agent may wait for the end of the attempt, in milliseconds
     * @param timeout the longest time to wait for the agent, not null
     * @return a future of the report, which never fails
     */
    CompletableFuture<AttemptReport> resolve(
            AttemptId id, AgentTarget agent, long waitMillis, Duration timeout) {
        String path = "/resolve?queued=keep&waitMillis=" + waitMillis;
        Request request = attemptRequest(id, agent, path).post(EMPTY_BODY).build();
        return unpooledClient
                .send(request, timeout)
                .handle((response, error) -> resolveReport(id, agent, response, error));
    }

    /**
     * Tells an agent that nobody waits for an attempt any more.
     *
     * @param id the attempt, not null
     * @param agent the agent, not null
     */
    void cancel(AttemptId id, AgentTarget agent) {
        unpooledClient.send(
                attemptRequest(id, agent, "/cancel").post(EMPTY_BODY).build(), CONNECT_TIMEOUT);
    }

    /** Closes the idle connections, because one has fallen silent or they are old. */
    void closeIdleConnections() {
        pooledClient.closeIdleConnections();
    }

    /** Ends all calls. */
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
            closeIdleIfRefused(cause);
            return cause instanceof ConnectException
                    ? AttemptReport.failed(
                            FailureType.UPSTREAM_UNREACHABLE, "the agent refused the connection")
                    : AttemptReport.lost("the connection to the agent was lost: " + cause);
        }
        notifyOccupancy(agent, response);
        if (response.isSuccess()) {
            boolean sameAttempt =
                    response.header(Headers.ATTEMPT_ID).filter(id.toString()::equals).isPresent();
            return sameAttempt
                    ? readResponse(response)
                    : AttemptReport.lost("an answer to another attempt came");
        }
        return readFailure(response);
    }

    private AttemptReport resolveReport(
            AttemptId id, AgentTarget agent, HttpClientResponse response, Throwable error) {
        if (error != null) {
            Throwable cause = Failures.causeOf(error);
            closeIdleIfRefused(cause);
            return cause instanceof ConnectException
                    ? AttemptReport.refused("nothing listens at the address of the agent")
                    : AttemptReport.lost("the agent does not answer: " + cause);
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
                    FailureType.OUTCOME_UNKNOWN, "the agent cannot tell whether the attempt ran");
        }
        return state.equals(AttemptState.RUNNING.text())
                ? AttemptReport.running()
                : AttemptReport.lost("the agent gave no state of the attempt");
    }

    /** Closes idle connections: those to a process that is gone would only be found out by use. */
    private void closeIdleIfRefused(Throwable cause) {
        if (cause instanceof ConnectException) {
            pooledClient.closeIdleConnections();
        }
    }

    private static AttemptReport readResponse(HttpClientResponse response) {
        Optional<Integer> status = response.header(Headers.UPSTREAM_STATUS).map(Integer::valueOf);
        if (status.isEmpty()) {
            return AttemptReport.lost("the agent gave no status of the upstream");
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
            return AttemptReport.lost("the agent gave an unreadable answer: " + e.getMessage());
        }
    }

    private void notifyOccupancy(AgentTarget agent, HttpClientResponse response) {
        Optional<String> text = response.header(Headers.AGENT_OCCUPANCY);
        text.flatMap(value -> OccupancyHeader.parse(agent.upstream(), value))
                .ifPresent(status -> onOccupancy.accept(agent, status));
    }
}
