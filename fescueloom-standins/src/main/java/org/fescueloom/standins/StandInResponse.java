package org.fescueloom.standins;

import java.util.Map;
import java.util.Objects;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.json.Json;

/**
 * Holds what a stand-in answers.
 *
 * @param status the HTTP status
 * @param headers further headers; null counts as none
 * @param contentType the content type, not null
 * @param body the body, not null
 * @param form how the answer is put on the connection; null counts as whole
 */
public record StandInResponse(
        int status, Map<String, String> headers, String contentType, byte[] body, Form form) {
    /** The content type of JSON. */
    public static final String JSON = "application/json";

    /** Names the ways in which an answer is put on the connection. */
    public enum Form {
        /** As it should be. */
        WHOLE,
        /** Half of the body, then the connection is closed. */
        CUT_SHORT,
        /** Twice. */
        DOUBLED,
        /** Bytes that are no HTTP, then the connection is closed. */
        NONSENSE,
        /** Not at all; the connection is closed. */
        CLOSED,
        /** Not at all; the connection stays open. */
        NEVER
    }

    /** Checks and copies the components. */
    public StandInResponse {
        headers = headers == null ? Map.of() : Map.copyOf(headers);
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
        form = form == null ? Form.WHOLE : form;
    }

    /**
     * Returns an answer with a value as JSON.
     *
     * @param status the HTTP status
     * @param value the value, not null
     * @return the answer, never null
     */
    public static StandInResponse json(int status, Object value) {
        return new StandInResponse(status, null, JSON, Json.write(value), Form.WHOLE);
    }

    /**
     * Returns an answer that reports a failure.
     *
     * @param status the HTTP status
     * @param type the type, not null
     * @param detail a sentence for a person, not null
     * @return the answer, never null
     */
    public static StandInResponse failure(int status, FailureType type, String detail) {
        return json(status, new FailureBody(type, type.outcome(), detail));
    }

    /**
     * Returns the absence of an answer.
     *
     * @param form either {@link Form#CLOSED} or {@link Form#NEVER}
     * @return the answer, never null
     */
    public static StandInResponse noResponse(Form form) {
        return new StandInResponse(0, null, JSON, new byte[0], form);
    }

    /**
     * Returns this answer in another form.
     *
     * @param other the form, not null
     * @return the answer, never null
     */
    public StandInResponse withForm(Form newForm) {
        return new StandInResponse(status, headers, contentType, body, newForm);
    }
}
