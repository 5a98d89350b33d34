package org.fescueloom.daemon.entry;

import java.util.concurrent.ScheduledFuture;
import org.fescueloom.request.AttemptId;

/**
 * Holds one attempt of a request: where it goes, whether it was sent, and how its agent answers the
 * probes. Guarded by the lock of its {@link RequestRun}.
 */
final class RequestAttempt {
    private static final long MIN_FIRST_PROBE_DELAY_NANOS = 100_000_000L;
    private static final long MAX_FIRST_PROBE_DELAY_NANOS = 500_000_000L;
    private static final long MAX_PROBE_DELAY_NANOS = 2_000_000_000L;

    final AttemptId id;
    final UpstreamPool.ChosenAgent chosenAgent;
    AttemptClient.SentAttempt sent;
    long probeDelayNanos;
    int failedProbes;
    int unknownOutcomeProbes;
    boolean ended;
    ScheduledFuture<?> nextProbe;

    RequestAttempt(AttemptId id, UpstreamPool.ChosenAgent chosen) {
        this.id = id;
        this.chosenAgent = chosen;
    }

    AgentTarget agent() {
        return chosenAgent.agent();
    }

    /** Returns the time until the first probe, in nanoseconds: twice the expected time, bounded. */
    long firstProbeDelayNanos() {
        long nanos = Math.max(MIN_FIRST_PROBE_DELAY_NANOS, 2 * chosenAgent.expectedNanos());
        return Math.min(MAX_FIRST_PROBE_DELAY_NANOS, nanos);
    }

    /** Returns the time until the next probe, in nanoseconds: twice the last one, bounded. */
    static long nextProbeDelayNanos(long previousDelayNanos) {
        return Math.min(2 * previousDelayNanos, MAX_PROBE_DELAY_NANOS);
    }
}
