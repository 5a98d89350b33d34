package org.fescueloom.daemon.http;

import java.util.Objects;
import java.util.Optional;
import okhttp3.Headers;
import org.fescueloom.json.Json;

/**
 * Holds the complete response of another process to a request.
 *
 * @param status the HTTP status
 * @param headers the headers, not null
 * @param body the complete body, not null
 */
public record HttpClientResponse(int status, Headers headers, byte[] body) {
    /** Checks that no component is null. */
    public HttpClientResponse {
        Objects.requireNonNull(headers, "headers");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Returns whether the status means success.
     *
     * @return true for a status from 200 to 299
     */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /**
     * Returns a header.
     *
     * @param name the name of the header, not null
     * @return the value, or empty if it is missing
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Parses the body, a JSON value; unknown fields are ignored.
     *
     * @param <T> the type of the value
     * @param type the class of the value, not null
     * @return the value, never null
     * @throws org.fescueloom.failure.SchedulerException with type {@code MALFORMED_INPUT} if the
     *     body is not a value of the type
     */
    public <T> T read(Class<T> type) {
        return Json.read(body, type);
    }
}
