package org.fescueloom.daemon.agent;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.http.HttpClientResponse;
import org.fescueloom.daemon.http.TruncatedResponseException;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AttemptAnswer;
import org.fescueloom.wire.Headers;
import org.fescueloom.wire.UpstreamRegistration;

/** Sends attempts to this agent's upstream and checks the responses. */
final class UpstreamClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param maxCalls the maximum number of calls in flight, at least 1
     */
    UpstreamClient(int maxCalls) {
        client = new HttpClient(maxCalls, CONNECT_TIMEOUT);
    }

    /**
     * Sends an attempt.
     *
     * @param attempt the attempt, not null
     * @param upstream the registration of the upstream, not null
     * @param timeout the time after which the call fails and the outcome of the attempt is unknown,
     *     not null
     * @return a future of the complete response; it fails with a {@link SchedulerException} whose
     *     type has the outcome of the attempt
     */
    CompletableFuture<AttemptAnswer> send(
            PendingAttempt attempt, UpstreamRegistration upstream, Duration timeout) {
        RequestBody body = RequestBody.create(attempt.body(), MediaType.parse(attempt.contentType));
        Request request =
                new Request.Builder()
                        .url(
                                "http://"
                                        + upstream.address()
                                        + "/v1/classes/"
                                        + attempt.serviceClass
                                        + "/requests")
                        .header(Headers.REQUEST_ID, attempt.requestId)
                        .header(Headers.ATTEMPT_ID, attempt.id.toString())
                        .header(Headers.CUSTOMER, attempt.customer)
                        .post(body)
                        .build();
        return client.send(request, timeout)
                .handle(
                        (response, error) ->
                                error == null
                                        ? checkResponse(attempt, response)
                                        : throwFailure(error));
    }

    /** Closes the idle connections. */
    void closeIdleConnections() {
        client.closeIdleConnections();
    }

    /** Cancels all calls and closes all connections. */
    @Override
    public void close() {
        client.close();
    }

    private static AttemptAnswer checkResponse(
            PendingAttempt attempt, HttpClientResponse response) {
        String echoedAttemptId = response.header(Headers.ATTEMPT_ID).orElse("");
        if (!echoedAttemptId.equals(attempt.id.toString())) {
            throw new SchedulerException(
                    FailureType.UPSTREAM_INVALID_ANSWER,
                    "the response belongs to attempt '"
                            + echoedAttemptId
                            + "', not to "
                            + attempt.id);
        }
        return new AttemptAnswer(
                response.status(), response.header("Content-Type").orElse(null), response.body());
    }

    private static AttemptAnswer throwFailure(Throwable error) {
        Throwable cause = Failures.causeOf(error);
        if (cause instanceof ConnectException) {
            throw failure(
                    FailureType.UPSTREAM_UNREACHABLE, "cannot connect to the upstream", cause);
        }
        if (cause instanceof TruncatedResponseException) {
            throw failure(
                    FailureType.UPSTREAM_INVALID_ANSWER, "the response was incomplete", cause);
        }
        if (cause instanceof IOException) {
            throw failure(
                    FailureType.OUTCOME_UNKNOWN, "the connection to the upstream failed", cause);
        }
        throw failure(FailureType.OUTCOME_UNKNOWN, "the call to the upstream failed", cause);
    }

    private static SchedulerException failure(FailureType type, String detail, Throwable cause) {
        return new SchedulerException(type, detail + ": " + cause.getMessage(), 0L, cause);
    }
}
