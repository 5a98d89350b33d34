package org.fescueloom.standins;

import java.util.Map;
import java.util.Objects;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.json.Json;

/**
 * Represents the response of a stand-in to a call.
 *
 * @param status the HTTP status
 * @param headers the headers besides Content-Type and Content-Length; null is treated as none
 * @param contentType the content type, not null
 * @param body the body, not null
 * @param form the form in which the response is written to the connection; null is treated as whole
 */
public record StandInResponse(
        int status, Map<String, String> headers, String contentType, byte[] body, Form form) {
    /** The content type for JSON. */
    public static final String JSON = "application/json";

    /** Lists the forms in which a response is written to the connection. */
    public enum Form {
        /** The whole response. */
        WHOLE,
        /**
         * Content-Length with the full length, but only half of the body; then closes the
         * connection.
         */
        CUT_SHORT,
        /** The whole response twice. */
        DOUBLED,
        /** Bytes that are not valid HTTP; then closes the connection. */
        NONSENSE,
        /** No response; closes the connection. */
        CLOSED,
        /** No response; the connection stays open. */
        NEVER
    }

    /** Checks that the required components are not null and copies the headers. */
    public StandInResponse {
        headers = headers == null ? Map.of() : Map.copyOf(headers);
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        form = form == null ? Form.WHOLE : form;
    }

    /**
     * Creates a response with a JSON body.
     *
     * @param status the HTTP status
     * @param value the value to write as JSON, not null
     * @return the response, never null
     */
    public static StandInResponse json(int status, Object value) {
        return new StandInResponse(status, null, JSON, Json.write(value), Form.WHOLE);
    }

    /**
     * Creates a response that reports a failure.
     *
     * @param status the HTTP status
     * @param type the type of the failure, not null
     * @param detail a description for people, not null
     * @return the response, never null
     */
    public static StandInResponse failure(int status, FailureType type, String detail) {
        return json(status, new FailureBody(type, type.outcome(), detail));
    }

    /**
     * Creates an object that stands for the absence of a response.
     *
     * @param form either {@link Form#CLOSED} or {@link Form#NEVER}
     * @return the object, never null
     */
    public static StandInResponse noResponse(Form form) {
        return new StandInResponse(0, null, JSON, new byte[0], form);
    }

    /**
     * Returns a copy of this response in another form.
     *
     * @param newForm the form, not null
     * @return the response, never null
     */
    public StandInResponse withForm(Form newForm) {
        return new StandInResponse(status, headers, contentType, body, newForm);
    }
}
