package org.fescueloom.daemon.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/**
 * Holds the answer to one HTTP request.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, not null
 * @param headers further headers, not null
 * @param body the whole body, not null
 */
public record HttpReply(int status, String contentType, Map<String, String> headers, byte[] body) {
    /** The media type of JSON. */
    public static final String JSON = "application/json";

    /** The status of an answer that carries what was asked for. */
    public static final int OK = 200;

    /** The status of an answer to work that was taken and goes on. */
    public static final int ACCEPTED = 202;

    /** Checks that no component is null and copies the headers. */
    public HttpReply {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        headers = Map.copyOf(headers);
    }

    /**
     * Creates a reply of status 200 with a JSON body.
     *
     * @param value the value to write, not null
     * @return the reply, never null
     */
    public static HttpReply json(Object value) {
        return json(OK, value);
    }

    /**
     * Creates a reply with a JSON body.
     *
     * @param status the HTTP status
     * @param value the value to write, not null
     * @return the reply, never null
     */
    public static HttpReply json(int status, Object value) {
        return new HttpReply(status, JSON, Map.of(), Json.write(value));
    }

    /**
     * Creates the reply that reports a failure.
     *
     * @param failure the failure, not null
     * @return the reply, never null
     */
    public static HttpReply failure(SchedulerException failure) {
        HttpReply reply = json(failure.type().status(), FailureBody.of(failure));
        long millis = failure.retryAfterMillis();
        if (millis == 0) {
            return reply;
        }
        long seconds = Math.max(1, TimeUnit.MILLISECONDS.toSeconds(millis + 999));
        return reply.withHeader("Retry-After", Long.toString(seconds));
    }

    /**
     * Returns this reply with one more header.
     *
     * @param name the name of the header, not null
     * @param value the value of the header, not null
     * @return the reply, never null
     */
    public HttpReply withHeader(String name, String value) {
        Map<String, String> all = new LinkedHashMap<>(headers);
        all.put(name, value);
        return new HttpReply(status, contentType, all, body);
    }
}
