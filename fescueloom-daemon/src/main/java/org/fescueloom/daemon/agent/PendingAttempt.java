package org.fescueloom.daemon.agent;

import java.util.concurrent.CompletableFuture;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AttemptAnswer;
import org.fescueloom.request.AttemptId;
import org.fescueloom.wire.Headers;

/** Holds an attempt until it ends; equal only to itself. */
final class PendingAttempt {
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    final AttemptId id;
    final String requestId;
    final String customer;
    final String serviceClass;
    final String contentType;
    final long deadlineNanos;
    final CompletableFuture<AttemptAnswer> response = new CompletableFuture<>();
    private byte[] body;

    private PendingAttempt(AttemptId id, HttpCall call, long nowNanos) {
        this.id = id;
        requestId = requireHeader(call, Headers.REQUEST_ID);
        customer = requireHeader(call, Headers.CUSTOMER);
        serviceClass = requireHeader(call, Headers.SERVICE_CLASS);
        contentType = call.header("Content-Type").orElse(DEFAULT_CONTENT_TYPE);
        long timeLeftMillis = call.headerLong(Headers.DEADLINE_MILLIS, 0);
        deadlineNanos = nowNanos + Math.multiplyExact(timeLeftMillis, 1_000_000L);
        body = call.body();
    }

    /**
     * Reads an attempt from an HTTP call.
     *
     * @param call the call, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the attempt, never null
     * @throws SchedulerException with type {@code MALFORMED_INPUT} or {@code INVALID_FIELD} if the
     *     attempt identifier or a header is missing or invalid
     */
    static PendingAttempt read(HttpCall call, long nowNanos) {
        AttemptId id = AttemptId.parse(call.pathVariable("attempt"));
        try {
            return new PendingAttempt(id, call, nowNanos);
        } catch (ArithmeticException e) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD,
                    Headers.DEADLINE_MILLIS + " is too large for a time in nanoseconds",
                    0L,
                    e);
        }
    }

    byte[] body() {
        return body;
    }

    /** Releases the memory of the body; called after the attempt has ended. */
    void releaseBody() {
        body = new byte[0];
    }

    private static String requireHeader(HttpCall call, String name) {
        return call.header(name)
                .filter(text -> !text.isBlank())
                .orElseThrow(
                        () ->
                                new SchedulerException(
                                        FailureType.MALFORMED_INPUT,
                                        "header " + name + " is missing"));
    }
}
