package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Tells what an upstream holds.
 *
 * @param clockMillis the upstream's own steady clock
 * @param bornMillis when this life of it began, in milliseconds since 1970; 0 if it does not say
 * @param running what runs, not null
 * @param ended what has ended and was not acknowledged, not null
 */
public record UpstreamSnapshot(
        long clockMillis, long bornMillis, List<RunStatus> running, List<EndedRun> ended) {
    /** Copies the lists. */
    public UpstreamSnapshot {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
