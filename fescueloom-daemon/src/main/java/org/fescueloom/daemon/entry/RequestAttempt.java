package org.fescueloom.daemon.entry;

import java.util.concurrent.ScheduledFuture;
import org.fescueloom.request.AttemptId;

/**
 * Holds one attempt of a request: where it goes, whether it was sent, and how its agent answers the
 * probes. Guarded by the lock of its {@link RequestRun}.
 */
final class RequestAttempt {
    private static final long SHORTEST_PROBE_NANOS = 100_000_000L;
    private static final long LONGEST_FIRST_PROBE_NANOS = 500_000_000L;
    private static final long LONGEST_PROBE_NANOS = 2_000_000_000L;

    final AttemptId id;
    final UpstreamPool.Chosen chosen;
    AttemptClient.Sent sent;
    long probeNanos;
    int silent;
    int doubts;
    boolean over;
    ScheduledFuture<?> probe;

    RequestAttempt(AttemptId id, UpstreamPool.Chosen chosen) {
        this.id = id;
        this.chosen = chosen;
    }

    AgentTarget agent() {
        return chosen.agent();
    }

    /** Returns the time until the first probe, in nanoseconds: twice the expected time, bounded. */
    long firstProbeNanos() {
        long nanos = Math.max(SHORTEST_PROBE_NANOS, 2 * chosen.expectedNanos());
        return Math.min(LONGEST_FIRST_PROBE_NANOS, nanos);
    }

    /** Returns the time until the next probe, in nanoseconds: twice the last one, bounded. */
    static long nextProbeNanos(long lastNanos) {
        return Math.min(2 * lastNanos, LONGEST_PROBE_NANOS);
    }
}
