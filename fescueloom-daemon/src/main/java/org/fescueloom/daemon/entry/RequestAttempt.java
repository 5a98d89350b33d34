package org.fescueloom.daemon.entry;

import java.util.concurrent.ScheduledFuture;
import org.fescueloom.request.AttemptId;

/**
 * Holds the state of one attempt of a request. Guarded by the lock of the attempt's {@link
 * RequestRun}.
 *
 * <p>A probe is a call to the agent on a new connection that asks for the state of the attempt.
 */
final class RequestAttempt {
    private static final long MIN_FIRST_PROBE_DELAY_NANOS = 100_000_000L;
    private static final long MAX_FIRST_PROBE_DELAY_NANOS = 500_000_000L;
    private static final long MAX_PROBE_DELAY_NANOS = 2_000_000_000L;

    final AttemptId id;
    final UpstreamPool.ChosenAgent chosenAgent;

    /** The sent attempt; null until the attempt is sent. */
    AttemptClient.SentAttempt sent;

    /** The delay before the next probe while the agent reports that the attempt is running. */
    long probeDelayNanos;

    /**
     * The number of probes without a usable response since the last report of a running attempt.
     */
    int failedProbes;

    /** The number of probes in which the agent reported the outcome of the attempt as unknown. */
    int unknownOutcomeProbes;

    /** Whether the attempt has its final result. */
    boolean ended;

    /** The latest scheduled probe; null before the first one is scheduled. */
    ScheduledFuture<?> nextProbe;

    RequestAttempt(AttemptId id, UpstreamPool.ChosenAgent chosen) {
        this.id = id;
        this.chosenAgent = chosen;
    }

    AgentTarget agent() {
        return chosenAgent.agent();
    }

    /**
     * Returns the delay before the first probe, in nanoseconds: twice the expected time until the
     * response, within bounds.
     */
    long firstProbeDelayNanos() {
        long nanos = Math.max(MIN_FIRST_PROBE_DELAY_NANOS, 2 * chosenAgent.expectedNanos());
        return Math.min(MAX_FIRST_PROBE_DELAY_NANOS, nanos);
    }

    /**
     * Returns the delay before the next probe, in nanoseconds: twice the previous delay, up to a
     * maximum.
     */
    static long nextProbeDelayNanos(long previousDelayNanos) {
        return Math.min(2 * previousDelayNanos, MAX_PROBE_DELAY_NANOS);
    }
}
