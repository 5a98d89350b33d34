package org.fescueloom.daemon.jobs;

/**
 * Says when a job whose start failed is tried again.
 *
 * @param consecutiveFailures how many starts have failed in a row, at least 1
 * @param notBeforeMillis the time before which it is not tried, in milliseconds since the epoch
 */
public record StartBackoff(int consecutiveFailures, long notBeforeMillis) {
    private static final long FIRST_DELAY_MILLIS = 250L;
    private static final int MAX_DOUBLINGS = 6;

    /**
     * Returns the backoff after one more failed start.
     *
     * @param before the backoff before, null after none
     * @param nowMillis the time of the failure, in milliseconds since the epoch
     * @return the backoff, never null
     */
    public static StartBackoff afterFailure(StartBackoff previous, long nowMillis) {
        int failures = previous == null ? 1 : previous.consecutiveFailures() + 1;
        long delay = FIRST_DELAY_MILLIS << Math.min(failures - 1, MAX_DOUBLINGS);
        return new StartBackoff(failures, nowMillis + delay);
    }
}
