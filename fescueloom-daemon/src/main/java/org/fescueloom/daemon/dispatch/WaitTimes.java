package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Measures how long the tasks of a step have waited without interruption, over scheduling rounds.
 */
final class WaitTimes {
    /** The start of the wait by step, by job. */
    private Map<String, Map<WaitingStep, Long>> previousRound = Map.of();

    private Map<String, Map<WaitingStep, Long>> currentRound = new HashMap<>();

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
     * @param job the identifier of the job, not null
     * @param step the step, not null
     * @param nowMillis the time on the monotonic clock, in milliseconds
     * @return how long the step has waited in consecutive rounds up to this one, in milliseconds
     */
    long recordWait(String job, WaitingStep step, long nowMillis) {
        long waitingSinceMillis =
                previousRound.getOrDefault(job, Map.of()).getOrDefault(step, nowMillis);
        currentRound.computeIfAbsent(job, id -> new HashMap<>()).put(step, waitingSinceMillis);
        return nowMillis - waitingSinceMillis;
    }

    /**
     * Keeps the times of the steps of a job that the round leaves out, although they wait.
     *
     * @param job the identifier of the job, not null
     * @param waits tells whether a step waits, not null
     */
    void keepSteps(String job, Predicate<WaitingStep> waits) {
        Map<WaitingStep, Long> current = currentRound.computeIfAbsent(job, id -> new HashMap<>());
        previousRound
                .getOrDefault(job, Map.of())
                .forEach(
                        (step, since) -> {
                            if (waits.test(step)) {
                                current.putIfAbsent(step, since);
                            }
                        });
    }
}
