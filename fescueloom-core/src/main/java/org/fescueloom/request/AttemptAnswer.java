package org.fescueloom.request;

import java.util.Objects;

/**
 * Holds the whole answer of an upstream. The body is not copied and must not be changed.
 *
 * @param status the HTTP status of the upstream, from 200 to 599
 * @param contentType the content type; null if the upstream named none
 * @param body the body, not null
 */
public record AttemptAnswer(int status, String contentType, byte[] body) {
    /** Checks that the body is given. */
    public AttemptAnswer {
        Objects.requireNonNull(body, "body");
    }

    /**
     * Tells whether the upstream reported success.
     *
     * @return true for a status below 400
     */
    public boolean isSuccess() {
        return status < 400;
    }
}
