package org.fescueloom.daemon.dispatch;

import java.util.Comparator;
import java.util.List;

/**
 * Lists the runs of an upstream at the time of a poll.
 *
 * @param clockMillis the reading of the upstream's monotonic clock
 * @param bornMillis when this incarnation of the upstream started, in milliseconds since 1970; 0 if
 *     unknown
 * @param running the runs that exist, all of them, not null
 * @param ended the ended runs with the lowest numbers that are not acknowledged, not null
 * @param allEndsListed whether {@code ended} holds all ended runs that are not acknowledged;
 *     otherwise a run that is in neither list may have ended
 */
public record UpstreamSnapshot(
        long clockMillis,
        long bornMillis,
        List<RunStatus> running,
        List<EndedRun> ended,
        boolean allEndsListed) {
    /** Copies the lists, and sorts the ends by their numbers. */
    public UpstreamSnapshot {
        running = List.copyOf(running);
        ended = ended.stream().sorted(Comparator.comparingLong(EndedRun::number)).toList();
    }
}
