package org.fescueloom.daemon.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueloom.request.AttemptId;

/**
 * Calls an agent on new connections until the outcome of an attempt is final or cannot be
 * determined.
 */
final class AttemptResolver {
    /** The time for which the agent may delay its response while the attempt is running. */
    private static final long RUNNING_WAIT_MILLIS = 500;

    /** The delay between a response or a failed call and the next call. */
    private static final long CALL_DELAY_MILLIS = 100;

    /**
     * The number of consecutive failed calls after which the outcome of an attempt that is not
     * idempotent cannot be determined; applied only after the deadline.
     */
    private static final int MAX_FAILED_CALLS = 2;

    /** Like {@link #MAX_FAILED_CALLS} for an idempotent attempt, also before the deadline. */
    private static final int MAX_FAILED_CALLS_IDEMPOTENT = 1;

    /** The number of failed connections after which the outcome cannot be determined. */
    private static final int MAX_FAILED_CONNECTIONS = 2;

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);

    private final RequestContext context;
    private final AttemptId id;
    private final AgentTarget agent;
    private final boolean idempotent;
    private final long deadlineNanos;
    private final long graceNanos;
    private final CompletableFuture<AttemptReport> result = new CompletableFuture<>();
    private int failedCalls;
    private int failedConnections;

    /**
     * Creates a resolver that has not started.
     *
     * @param context the shared objects of the request runs, not null
     * @param id the attempt, not null
     * @param agent the agent of the attempt, not null
     * @param idempotent whether the resolver may stop before the deadline when calls fail; an
     *     idempotent request can be sent again instead
     * @param deadlineNanos the deadline of the request, in nanoseconds of the monotonic clock
     * @param graceNanos the time after the deadline at which the resolver stops although the
     *     attempt is still running, in nanoseconds
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
     * Starts the calls.
     *
     * @return a future of a report of the kind {@code ANSWERED}, {@code FAILED} or, if the outcome
     *     cannot be determined, {@code LOST}; the future never fails
     */
    CompletableFuture<AttemptReport> start() {
        callAgent();
        return result;
    }

    private void callAgent() {
        context.client()
                .requestState(id, agent, RUNNING_WAIT_MILLIS, CALL_TIMEOUT)
                .whenComplete((report, error) -> onReport(report));
    }

    private void onReport(AttemptReport report) {
        long nowNanos = System.nanoTime();
        switch (report.kind()) {
            case ANSWERED, FAILED -> result.complete(report);
            case RUNNING -> {
                failedCalls = 0;
                failedConnections = 0;
                if (nowNanos > deadlineNanos + graceNanos) {
                    result.complete(
                            AttemptReport.noResponse(
                                    "the attempt was still running "
                                            + graceNanos / 1_000_000
                                            + " ms after its deadline"));
                } else {
                    scheduleNextCall();
                }
            }
            default -> {
                failedCalls++;
                failedConnections += report.kind() == AttemptReport.Kind.NOT_CONNECTED ? 1 : 0;
                boolean mustWaitForDeadline = !idempotent && nowNanos < deadlineNanos;
                int maxFailedCalls = idempotent ? MAX_FAILED_CALLS_IDEMPOTENT : MAX_FAILED_CALLS;
                if (failedConnections >= MAX_FAILED_CONNECTIONS
                        || failedCalls >= maxFailedCalls && !mustWaitForDeadline) {
                    result.complete(AttemptReport.noResponse(report.failure().getMessage()));
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
