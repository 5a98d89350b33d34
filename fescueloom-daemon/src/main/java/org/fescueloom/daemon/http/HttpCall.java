package org.fescueloom.daemon.http;

import io.jooby.Context;
import io.jooby.Value;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.fescueloom.json.JsonValueCount;

/** Gives a handler typed access to one HTTP request. */
public final class HttpCall {
    private final Context context;
    private final byte[] body;
    private final ConnectionGuard guard;

    HttpCall(Context context) {
        this.context = Objects.requireNonNull(context, "context");
        this.guard = Objects.requireNonNull(ConnectionGuard.current(), "guard");
        this.body = guard.body();
    }

    /**
     * Returns the path of the request without its query.
     *
     * @return the path, starting with a slash, never null
     */
    public String requestPath() {
        return context.getRequestPath();
    }

    /**
     * Returns the value of a path variable.
     *
     * @param name the name of the variable, not null
     * @return the value, never null
     */
    public String pathVariable(String name) {
        return context.path(name).value();
    }

    /**
     * Returns a query parameter.
     *
     * @param name the name of the parameter, not null
     * @return the value, or empty if it is missing
     */
    public Optional<String> query(String name) {
        return toOptional(context.query(name));
    }

    /**
     * Returns a query parameter that is a whole number.
     *
     * @param name the name of the parameter, not null
     * @param defaultValue the value to return if the parameter is missing
     * @return the value
     * @throws SchedulerException with type {@code INVALID_FIELD} if it is not a whole number
     */
    public long queryLong(String name, long defaultValue) {
        return query(name).map(text -> parseLong(name, text)).orElse(defaultValue);
    }

    /**
     * Returns a header.
     *
     * @param name the name of the header, not null
     * @return the value, or empty if it is missing
     */
    public Optional<String> header(String name) {
        return toOptional(context.header(name));
    }

    /**
     * Adds a task that runs if the caller closes the connection before the response is sent; must
     * be called while the request is being handled.
     *
     * @param task the task, which must not block, not null
     */
    public void onDisconnect(Runnable task) {
        guard.onDisconnect(task);
    }

    /**
     * Returns a header that is a whole number.
     *
     * @param name the name of the header, not null
     * @param defaultValue the value to return if the header is missing
     * @return the value
     * @throws SchedulerException with type {@code INVALID_FIELD} if it is not a whole number
     */
    public long headerLong(String name, long defaultValue) {
        return header(name).map(text -> parseLong(name, text)).orElse(defaultValue);
    }

    /**
     * Returns the complete body.
     *
     * @return the bytes, empty if the request has no body, never null
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the complete body if it does not have more JSON values than the limit. A tree of more
     * values could exceed the memory of the process.
     *
     * @return the bytes, which need not be valid JSON, never null
     * @throws SchedulerException with type {@code BODY_TOO_LARGE} if the body has too many values
     */
    public byte[] jsonBody() {
        int maxValues = guard.maxJsonValues();
        if (JsonValueCount.exceeds(body, maxValues)) {
            guard.reportJsonValues();
            throw new SchedulerException(
                    FailureType.BODY_TOO_LARGE,
                    "the body has more than " + maxValues + " JSON values");
        }
        return body;
    }

    /**
     * Parses the body, a JSON value written by a person or a caller; unknown fields are refused.
     *
     * @param <T> the type of the value
     * @param type the class of the value, not null
     * @return the value, never null
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the body is no such value
     */
    public <T> T readStrict(Class<T> type) {
        return Json.readStrict(jsonBody(), type);
    }

    /**
     * Parses the body, a JSON value written by another process; unknown fields are ignored.
     *
     * @param <T> the type of the value
     * @param type the class of the value, not null
     * @return the value, never null
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the body is no such value
     */
    public <T> T read(Class<T> type) {
        return Json.read(jsonBody(), type);
    }

    private static Optional<String> toOptional(Value value) {
        return value.isMissing() ? Optional.empty() : Optional.of(value.value());
    }

    private static long parseLong(String name, String text) {
        try {
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD, name + " is not a whole number: " + text, 0L, e);
        }
    }
}
