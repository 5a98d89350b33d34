package org.fescueloom.daemon.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Measures how long the tasks of a step have waited without a break, round by round. */
final class WaitTimes {
    private Map<String, Long> sinceBefore = Map.of();
    private Map<String, Long> since = new HashMap<>();

    /** Begins a round; steps that do not wait in it begin anew when they wait again. */
    void beginRound() {
        sinceBefore = since;
        since = new HashMap<>();
    }

    /**
     * Notes that a step waits in this round.
     *
     * @param step a name that is unique, not null
     * @param nowMillis the time
     * @return how long it has waited in all rounds up to this one, in milliseconds
     */
    long recordWait(String step, long nowMillis) {
        long began = sinceBefore.getOrDefault(step, nowMillis);
        since.put(step, began);
        return nowMillis - began;
    }
}
