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
 * @param response the complete response; null if the request failed
 * @param servedBy the identifier of the upstream that sent the response; null without a response
 * @param attempts the number of attempts that were made
 * @param failure the failure; null if there is a response
 */
record RequestResult(
        String requestId,
        AttemptAnswer response,
        String servedBy,
        int attempts,
        SchedulerException failure) {
    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    /**
     * Converts this result to the HTTP response for the caller.
     *
     * @return the HTTP response, never null
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
