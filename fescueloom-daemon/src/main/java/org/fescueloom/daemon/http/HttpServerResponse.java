package org.fescueloom.daemon.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/**
 * Holds the response of this process to a request.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, not null
 * @param headers the headers besides the content type, not null
 * @param body the complete body, not null
 */
public record HttpServerResponse(
        int status, String contentType, Map<String, String> headers, byte[] body) {
    /** The media type of JSON. */
    public static final String JSON = "application/json";

    /** The status of a response that contains the requested data. */
    public static final int OK = 200;

    /** The status of a response to accepted work that is still in progress. */
    public static final int ACCEPTED = 202;

    /** Checks that no component is null and copies the headers. */
    public HttpServerResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a response of status 200 with a JSON body.
     *
     * @param value the value to write, not null
     * @return the response, never null
     */
    public static HttpServerResponse json(Object value) {
        return json(OK, value);
    }

    /**
     * Creates a response with a JSON body.
     *
     * @param status the HTTP status
     * @param value the value to write, not null
     * @return the response, never null
     */
    public static HttpServerResponse json(int status, Object value) {
        return new HttpServerResponse(status, JSON, Map.of(), Json.write(value));
    }

    /**
     * Creates the response that reports a failure.
     *
     * @param failure the failure, not null
     * @return the response, never null
     */
    public static HttpServerResponse failure(SchedulerException failure) {
        HttpServerResponse response = json(failure.type().status(), FailureBody.of(failure));
        long retryAfterMillis = failure.retryAfterMillis();
        if (retryAfterMillis == 0) {
            return response;
        }
        // Rounds up to whole seconds, the unit of the header.
        long retryAfterSeconds =
                Math.max(1, TimeUnit.MILLISECONDS.toSeconds(retryAfterMillis + 999));
        return response.withHeader("Retry-After", Long.toString(retryAfterSeconds));
    }

    /**
     * Returns a copy of this response with one more header.
     *
     * @param name the name of the header, not null
     * @param value the value of the header, not null
     * @return the response, never null
     */
    public HttpServerResponse withHeader(String name, String value) {
        Map<String, String> allHeaders = new LinkedHashMap<>(headers);
        allHeaders.put(name, value);
        return new HttpServerResponse(status, contentType, allHeaders, body);
    }
}
