package org.fescueloom.request;

import java.util.Objects;

/**
 * Holds the complete response of an upstream. The body is not copied and must not be modified.
 *
 * @param status the HTTP status of the response, from 200 to 599
 * @param contentType the content type; null if the response has none
 * @param body the body, not null
 */
public record AttemptAnswer(int status, String contentType, byte[] body) {
    /** Checks that the body is not null. */
    public AttemptAnswer {
        Objects.requireNonNull(body, "body");
    }

    /**
     * Tests whether the upstream reported success.
     *
     * @return true for a status below 400
     */
    public boolean isSuccess() {
        return status < 400;
    }
}
