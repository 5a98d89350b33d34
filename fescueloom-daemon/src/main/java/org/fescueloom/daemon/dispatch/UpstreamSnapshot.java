package org.fescueloom.daemon.dispatch;

import java.util.List;

/**
 * Lists the runs of an upstream at the time of a poll.
 *
 * @param clockMillis the reading of the upstream's monotonic clock
 * @param bornMillis when this incarnation of the upstream started, in milliseconds since 1970; 0 if
 *     unknown
 * @param running the runs that exist, not null
 * @param ended the ended runs that are not acknowledged, not null
 */
public record UpstreamSnapshot(
        long clockMillis, long bornMillis, List<RunStatus> running, List<EndedRun> ended) {
    /** Copies the lists. */
    public UpstreamSnapshot {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }
}
