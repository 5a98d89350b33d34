package org.fescueloom.daemon.entry;

import java.util.Map;
import org.fescueloom.daemon.http.HttpServerResponse;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AttemptAnswer;
import org.fescueloom.wire.Headers;

/**
 * Holds the final result of a request.
 *
 * @param requestId the identifier of the request, not null
 * @param response the whole answer; null if there is none
 * @param servedBy the upstream that gave the answer; null without an answer
 * @param attempts how many attempts were made
 * @param failure the failure; null if there is an answer
 */
record RequestResult(
        String requestId,
        AttemptAnswer response,
        String servedBy,
        int attempts,
        SchedulerException failure) {
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    /**
     * Returns the reply for the caller.
     *
     * @return the reply, never null
     */
    HttpServerResponse toCallerResponse() {
        HttpServerResponse httpResponse =
                response == null ? HttpServerResponse.failure(failure) : successReply();
        return httpResponse
                .withHeader(Headers.REQUEST_ID, requestId)
                .withHeader(Headers.ATTEMPTS, Integer.toString(attempts));
    }

    private HttpServerResponse successReply() {
        String contentType =
                response.contentType() == null ? DEFAULT_CONTENT_TYPE : response.contentType();
        return new HttpServerResponse(
                HttpServerResponse.OK,
                contentType,
                Map.of(Headers.SERVED_BY, servedBy),
                response.body());
    }
}
