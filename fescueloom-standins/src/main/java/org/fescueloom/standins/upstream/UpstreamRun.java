package org.fescueloom.standins.upstream;

import java.util.Objects;

/**
 * Records one run of a request at an upstream.
 *
 * @param requestId the identifier of the request, not null; empty if the call has no such header
 * @param attemptId the identifier of the attempt, not null; empty if the call has no such header
 * @param serviceClass the service class of the request, not null
 * @param startMillis the start of the run, in milliseconds since the epoch
 * @param endMillis the end of the run, in milliseconds since the epoch; 0 until the run has ended
 * @param status the HTTP status of the response; 0 until the run has ended
 */
public record UpstreamRun(
        String requestId,
        String attemptId,
        String serviceClass,
        long startMillis,
        long endMillis,
        int status) {
    /** Checks that the identifiers and the service class are not null. */
    public UpstreamRun {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(serviceClass, "serviceClass");
    }

    /**
     * Returns a copy of this run with its end.
     *
     * @param endMillis the end of the run, in milliseconds since the epoch
     * @param status the HTTP status of the response
     * @return the run, never null
     */
    public UpstreamRun withEnd(long endMillis, int status) {
        return new UpstreamRun(requestId, attemptId, serviceClass, startMillis, endMillis, status);
    }
}
