package org.fescueloom.daemon.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueloom.request.AttemptId;

/** Asks an agent on fresh connections until the fate of an attempt is as definite as it gets. */
final class AttemptWatch {
    /** How long the agent may wait for the end of the attempt before it answers. */
    private static final long WAIT_MILLIS = 500;

    private static final long PAUSE_MILLIS = 100;
    private static final int MAX_SILENT = 2;
    private static final int MAX_SILENT_IDEMPOTENT = 1;
    private static final int MAX_REFUSED = 2;
    private static final Duration TIMEOUT = Duration.ofMillis(1_000);

    private final RequestContext context;
    private final AttemptId id;
    private final AgentTarget agent;
    private final boolean idempotent;
    private final long deadlineNanos;
    private final long graceNanos;
    private final CompletableFuture<AttemptReport> result = new CompletableFuture<>();
    private int silent;
    private int refused;

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
    AttemptWatch(
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
    CompletableFuture<AttemptReport> begin() {
        ask();
        return result;
    }

    private void ask() {
        context.client()
                .resolve(id, agent, WAIT_MILLIS, TIMEOUT)
                .whenComplete((report, error) -> onReport(report));
    }

    private void onReport(AttemptReport report) {
        long now = System.nanoTime();
        switch (report.kind()) {
            case ANSWERED, FAILED -> result.complete(report);
            case RUNNING -> {
                silent = 0;
                refused = 0;
                if (now > deadlineNanos + graceNanos) {
                    result.complete(AttemptReport.lost("no answer long after the deadline"));
                } else {
                    again();
                }
            }
            default -> {
                silent++;
                refused += report.kind() == AttemptReport.Kind.REFUSED ? 1 : 0;
                boolean patient = !idempotent && now < deadlineNanos;
                int enough = idempotent ? MAX_SILENT_IDEMPOTENT : MAX_SILENT;
                if (refused >= MAX_REFUSED || silent >= enough && !patient) {
                    result.complete(AttemptReport.lost(report.failure().getMessage()));
                } else {
                    again();
                }
            }
        }
    }

    private void again() {
        context.timer().schedule(this::ask, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }
}
