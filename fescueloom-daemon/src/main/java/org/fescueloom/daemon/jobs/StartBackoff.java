package org.fescueloom.daemon.jobs;

/**
 * Holds the time before which a job whose gang failed to start is not started again. The delay
 * doubles with each consecutive failure.
 *
 * @param consecutiveFailures the number of starts that failed in a row, at least 1
 * @param notBeforeMillis the time before which the job is not started again, in milliseconds since
 *     the epoch
 */
public record StartBackoff(int consecutiveFailures, long notBeforeMillis) {
    /** The delay after the first failure, in milliseconds. */
    private static final long FIRST_DELAY_MILLIS = 250L;

    /** The maximum number of doublings of the delay; the longest delay is 16 s. */
    private static final int MAX_DOUBLINGS = 6;

    /**
     * Returns the backoff that follows one more failed start.
     *
     * @param previous the backoff after the preceding failure, null if this is the first failure
     * @param nowMillis the time of the failure, in milliseconds since the epoch
     * @return the new backoff, never null
     */
    public static StartBackoff afterFailure(StartBackoff previous, long nowMillis) {
        int consecutiveFailures = previous == null ? 1 : previous.consecutiveFailures() + 1;
        long delayMillis = FIRST_DELAY_MILLIS << Math.min(consecutiveFailures - 1, MAX_DOUBLINGS);
        return new StartBackoff(consecutiveFailures, nowMillis + delayMillis);
    }
}
