package org.fescueloom.daemon.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueloom.request.AttemptId;

/** Asks an agent on fresh connections until the fate of an attempt is as definite as it gets. */
final class AttemptResolver {
    /** How long the agent may wait for the end of the attempt before it answers. */
    private static final long RUNNING_WAIT_MILLIS = 500;

    private static final long CALL_DELAY_MILLIS = 100;
    private static final int MAX_FAILED_CALLS = 2;
    private static final int MAX_FAILED_CALLS_IDEMPOTENT = 1;
    private static final int MAX_REFUSED_CONNECTIONS = 2;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

    private final RequestContext context;
    private final AttemptId id;
    private final AgentTarget agent;
    private final boolean idempotent;
    private final long deadlineNanos;
    private final long graceNanos;
    private final CompletableFuture<AttemptReport> result = new CompletableFuture<>();
    private int failedCalls;
    private int refusedConnections;

    /**
     * Creates a watch that has not begun.
     *
     * @param context what all requests share, not null
     * @param id the attempt, not null
     * @param agent the agent of the attempt, not null
     * @param idempotent whether a silent agent is given up before the deadline
     * @param deadlineNanos the deadline, after which a silent agent is given up
     * @param graceNanos how long after the deadline an attempt that still runs is given up
     */
    AttemptResolver(
            RequestContext context,
            AttemptId id,
            AgentTarget agent,
            boolean idempotent,
            long deadlineNanos,
            long graceNanos) {
        this.context = Objects.requireNonNull(context, "context");
        this.id = Objects.requireNonNull(id, "id");
        this.agent = Objects.requireNonNull(agent, "agent");
        this.idempotent = idempotent;
        this.deadlineNanos = deadlineNanos;
        this.graceNanos = graceNanos;
    }

    /**
     * Begins to ask.
     *
     * @return a future of a report of kind {@code ANSWERED}, {@code FAILED} or, if nobody can tell,
     *     {@code LOST}; it never fails
     */
    CompletableFuture<AttemptReport> start() {
        callAgent();
        return result;
    }

    private void callAgent() {
        context.client()
                .resolve(id, agent, RUNNING_WAIT_MILLIS, CALL_TIMEOUT)
                .whenComplete((report, error) -> onReport(report));
    }

    private void onReport(AttemptReport report) {
        long nowNanos = System.nanoTime();
        switch (report.kind()) {
            case ANSWERED, FAILED -> result.complete(report);
            case RUNNING -> {
                failedCalls = 0;
                refusedConnections = 0;
                if (nowNanos > deadlineNanos + graceNanos) {
                    result.complete(AttemptReport.lost("no answer long after the deadline"));
                } else {
                    scheduleNextCall();
                }
            }
            default -> {
                failedCalls++;
                refusedConnections += report.kind() == AttemptReport.Kind.REFUSED ? 1 : 0;
                boolean mustWaitForDeadline = !idempotent && nowNanos < deadlineNanos;
                int maxFailedCalls = idempotent ? MAX_FAILED_CALLS_IDEMPOTENT : MAX_FAILED_CALLS;
                if (refusedConnections >= MAX_REFUSED_CONNECTIONS
                        || failedCalls >= maxFailedCalls && !mustWaitForDeadline) {
                    result.complete(AttemptReport.lost(report.failure().getMessage()));
                } else {
                    scheduleNextCall();
                }
            }
        }
    }

    private void scheduleNextCall() {
        context.timer().schedule(this::callAgent, CALL_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
}
