package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Measures how long the tasks of a step have waited without interruption, over scheduling rounds.
 */
final class WaitTimes {
    private Map<String, Long> previousRound = Map.of();
    private Map<String, Long> currentRound = new HashMap<>();

    /**
     * Starts a scheduling round. The time of a step that does not wait in the round starts again at
     * zero.
     */
    void beginRound() {
        previousRound = currentRound;
        currentRound = new HashMap<>();
    }

    /**
     * Records that a step waits in this round.
     *
     * @param stepId the unique ID of the step, not null
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return how long the step has waited in consecutive rounds up to this one, in milliseconds
     */
    long recordWait(String stepId, long nowMillis) {
        long waitingSinceMillis = previousRound.getOrDefault(stepId, nowMillis);
        currentRound.put(stepId, waitingSinceMillis);
        return nowMillis - waitingSinceMillis;
    }
}
