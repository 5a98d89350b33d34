package org.fescueloom.standins.upstream;

import java.util.Objects;

/**
 * Records one run of a request at an upstream.
 *
 * @param requestId the identifier of the request; empty if the call named none
 * @param attemptId the identifier of the attempt; empty if the call named none
 * @param serviceClass the class of the request, not null
 * @param startMillis when the run began, in milliseconds since the epoch
 * @param endMillis when the run ended, in milliseconds since the epoch; 0 while it runs
 * @param status the status of the answer; 0 while it runs
 */
public record UpstreamRun(
        String requestId,
        String attemptId,
        String serviceClass,
        long startMillis,
        long endMillis,
        int status) {
    /** Checks that no text is null. */
    public UpstreamRun {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(serviceClass, "serviceClass");
    }

    /**
     * Returns this run as it ended.
     *
     * @param endMillis when it ended, in milliseconds since the epoch
     * @param status the status of the answer
     * @return the run, never null
     */
    public UpstreamRun withEnd(long endMillis, int status) {
        return new UpstreamRun(requestId, attemptId, serviceClass, startMillis, endMillis, status);
    }
}
