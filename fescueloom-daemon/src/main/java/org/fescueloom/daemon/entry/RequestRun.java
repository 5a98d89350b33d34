package org.fescueloom.daemon.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Outcome;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.request.AttemptAnswer;
import org.fescueloom.request.AttemptId;
import org.fescueloom.request.AttemptResult;
import org.fescueloom.request.RequestAction;
import org.fescueloom.request.RequestEvent;
import org.fescueloom.request.RequestProgress;

/**
 * Brings one request from its admission to its final result.
 *
 * <p>While an attempt is under way, the agent is asked on fresh connections whether it still has
 * it, so that a connection that fell silent is found out. All steps are taken under the lock of the
 * run; the result is completed outside of it.
 */
final class RequestRun {
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_SILENT_QUESTIONS = 2;
    private static final int MAX_REFUSED_QUESTIONS = 2;
    private static final long LATE_GRACE_NANOS = 30_000_000_000L;
    private static final long SHORTEST_PROBE_NANOS = 100_000_000L;
    private static final long LONGEST_PROBE_NANOS = 1_000_000_000L;
    private static final long QUESTION_PAUSE_NANOS = 100_000_000L;
    private static final Duration QUESTION_TIMEOUT = Duration.ofMillis(1_000);
    private static final long RESOLVE_WAIT_MILLIS = 500;

    private final RequestInput input;
    private final RequestContext context;
    private final RequestTrail trail;
    private final RequestProgress progress;
    private final CompletableFuture<RequestResult> result = new CompletableFuture<>();
    private final Set<String> tried = new HashSet<>();
    private Attempt current;
    private SchedulerException lastFailure;
    private AttemptAnswer answer;

    /**
     * Creates a run that has not started.
     *
     * @param input the request, not null
     * @param context what all requests share, not null
     * @param trail collects the steps, not null
     */
    RequestRun(RequestInput input, RequestContext context, RequestTrail trail) {
        this.input = Objects.requireNonNull(input, "input");
        this.context = Objects.requireNonNull(context, "context");
        this.trail = Objects.requireNonNull(trail, "trail");
        this.progress = new RequestProgress(input.idempotent());
    }

    /** Is the attempt that is under way. */
    private static final class Attempt {
        private final AttemptId id;
        private final UpstreamPool.Chosen chosen;
        private AttemptClient.Sent sent;
        private long probeNanos;
        private int silent;
        private int refused;
        private boolean over;

        private Attempt(AttemptId id, UpstreamPool.Chosen chosen) {
            this.id = id;
            this.chosen = chosen;
        }
    }

    /**
     * Returns the request.
     *
     * @return the request, never null
     */
    RequestInput input() {
        return input;
    }

    /**
     * Starts the run.
     *
     * @return a future of the result, which never fails
     */
    CompletableFuture<RequestResult> start() {
        trail.add(RequestStepKind.ACCEPTED, null, null, null, null);
        step(() -> progress.accepted(false));
        return result;
    }

    /** Gives up the attempt that is under way, because the caller went away. */
    void callerGone() {
        Attempt attempt;
        synchronized (this) {
            attempt = current;
        }
        trail.add(RequestStepKind.CALLER_GONE, null, null, null, null);
        context.metrics().count("requests.caller-gone");
        if (attempt != null && !attempt.over) {
            context.client().cancel(attempt.id, attempt.chosen.agent());
        }
    }

    private interface Step {
        Optional<RequestAction> take();
    }

    private void step(Step step) {
        synchronized (this) {
            if (progress.isOver()) {
                return;
            }
            Optional<RequestAction> action = step.take();
            while (action.isPresent()) {
                action = perform(action.get());
            }
            trail.setState(progress.state());
        }
        if (progress.isOver()) {
            result.complete(finalResult());
        }
    }

    private Optional<RequestAction> perform(RequestAction action) {
        return switch (action) {
            case SEND_ATTEMPT -> sendAttempt();
            case RESOLVE_ATTEMPT -> resolveAttempt();
            case CONSIDER_RETRY -> considerRetry();
            case REPORT -> Optional.empty();
            case CLAIM_IDENTIFIER, JOIN_FIRST_RUN -> throw new IllegalStateException("no claims");
        };
    }

    private Optional<RequestAction> sendAttempt() {
        Optional<UpstreamPool.Chosen> chosen = context.pool().choose(tried);
        if (chosen.isEmpty()) {
            if (lastFailure == null) {
                lastFailure =
                        new SchedulerException(
                                FailureType.NO_UPSTREAM, "no upstream takes work now");
            }
            return progress.attemptFailed(Outcome.NOT_RUN);
        }
        Attempt attempt = new Attempt(context.nextAttempt(), chosen.get());
        current = attempt;
        tried.add(chosen.get().upstream());
        note(RequestStepKind.ATTEMPT_SENT, attempt, null, null);
        long left = Math.max(0, input.deadlineNanos() - System.nanoTime());
        attempt.sent =
                context.client()
                        .send(
                                attempt.id,
                                input,
                                chosen.get().agent(),
                                left,
                                Duration.ofNanos(left + LATE_GRACE_NANOS));
        attempt.probeNanos =
                Math.min(
                        LONGEST_PROBE_NANOS,
                        Math.max(SHORTEST_PROBE_NANOS, 2 * chosen.get().expectedNanos()));
        attempt.sent.report().thenAccept(report -> step(() -> onReport(attempt, report)));
        later(attempt.probeNanos, () -> probe(attempt));
        return Optional.empty();
    }

    private void probe(Attempt attempt) {
        synchronized (this) {
            if (attempt.over || current != attempt) {
                return;
            }
        }
        context.client()
                .resolve(attempt.id, attempt.chosen.agent(), 0, QUESTION_TIMEOUT)
                .thenAccept(report -> step(() -> onProbe(attempt, report)));
    }

    private Optional<RequestAction> onProbe(Attempt attempt, AttemptReport report) {
        if (attempt.over || current != attempt) {
            return Optional.empty();
        }
        switch (report.kind()) {
            case RUNNING -> {
                attempt.silent = 0;
                if (isBeyondGrace()) {
                    return lost(attempt, "no answer long after the deadline");
                }
                attempt.probeNanos = Math.min(2 * attempt.probeNanos, 2 * LONGEST_PROBE_NANOS);
                later(attempt.probeNanos, () -> probe(attempt));
                return Optional.empty();
            }
            case LOST, REFUSED -> {
                attempt.silent++;
                if (attempt.silent >= MAX_SILENT_QUESTIONS) {
                    return lost(attempt, report.failure().getMessage());
                }
                later(QUESTION_PAUSE_NANOS, () -> probe(attempt));
                return Optional.empty();
            }
            default -> {
                context.metrics().count("connections.silent");
                note(RequestStepKind.CONNECTION_LOST, attempt, null, "the connection is silent");
                attempt.sent.call().cancel(true);
                context.client().retireConnections();
                return onReport(attempt, report);
            }
        }
    }

    private Optional<RequestAction> lost(Attempt attempt, String detail) {
        context.metrics().count("connections.lost");
        note(RequestStepKind.CONNECTION_LOST, attempt, null, detail);
        attempt.silent = 0;
        attempt.sent.call().cancel(true);
        context.client().retireConnections();
        return progress.on(RequestEvent.LOST);
    }

    private Optional<RequestAction> onReport(Attempt attempt, AttemptReport report) {
        if (attempt.over || current != attempt) {
            return Optional.empty();
        }
        return switch (report.kind()) {
            case ANSWERED -> onAnswer(attempt, report.answer());
            case FAILED -> onFailure(attempt, report.failure());
            case RUNNING -> progress.on(RequestEvent.RUNNING);
            case LOST, REFUSED -> lost(attempt, report.failure().getMessage());
        };
    }

    private Optional<RequestAction> onAnswer(Attempt attempt, AttemptAnswer whole) {
        if (whole.isSuccess()) {
            end(attempt, AttemptResult.SUCCESS);
            note(RequestStepKind.ATTEMPT_ANSWERED, attempt, null, null);
            answer = whole;
            return progress.on(RequestEvent.ANSWERED);
        }
        boolean ownFault = whole.status() >= 500;
        end(attempt, ownFault ? AttemptResult.FAILURE : AttemptResult.SUCCESS);
        lastFailure =
                new SchedulerException(
                        FailureType.UPSTREAM_FAILED,
                        "upstream " + attempt.chosen.upstream() + " answered " + whole.status());
        note(RequestStepKind.ATTEMPT_FAILED, attempt, lastFailure.type(), lastFailure.getMessage());
        return ownFault ? progress.attemptFailed(Outcome.RAN) : progress.on(RequestEvent.FAILED);
    }

    private Optional<RequestAction> onFailure(Attempt attempt, SchedulerException failure) {
        boolean healthy =
                failure.type().outcome() == Outcome.NOT_RUN
                        && failure.type() != FailureType.UPSTREAM_UNREACHABLE;
        end(attempt, healthy ? AttemptResult.REFUSED : AttemptResult.FAILURE);
        lastFailure = failure;
        note(RequestStepKind.ATTEMPT_FAILED, attempt, failure.type(), failure.getMessage());
        return progress.attemptFailed(failure.type().outcome());
    }

    private Optional<RequestAction> resolveAttempt() {
        Attempt attempt = current;
        context.client()
                .resolve(attempt.id, attempt.chosen.agent(), RESOLVE_WAIT_MILLIS, QUESTION_TIMEOUT)
                .thenAccept(report -> step(() -> onResolved(attempt, report)));
        return Optional.empty();
    }

    private Optional<RequestAction> onResolved(Attempt attempt, AttemptReport report) {
        if (attempt.over || current != attempt) {
            return Optional.empty();
        }
        boolean reached =
                report.kind() != AttemptReport.Kind.LOST
                        && report.kind() != AttemptReport.Kind.REFUSED;
        if (reached && !(report.kind() == AttemptReport.Kind.RUNNING && isBeyondGrace())) {
            return onReport(attempt, report);
        }
        attempt.silent++;
        attempt.refused += report.kind() == AttemptReport.Kind.REFUSED ? 1 : 0;
        boolean pastDeadline = System.nanoTime() >= input.deadlineNanos();
        boolean enough = attempt.silent >= MAX_SILENT_QUESTIONS;
        boolean gone = attempt.refused >= MAX_REFUSED_QUESTIONS;
        if (gone || enough && (pastDeadline || input.idempotent())) {
            context.client().cancel(attempt.id, attempt.chosen.agent());
            return onFailure(
                    attempt,
                    new SchedulerException(
                            FailureType.OUTCOME_UNKNOWN,
                            "the agent of upstream " + attempt.chosen.upstream() + " is gone"));
        }
        later(QUESTION_PAUSE_NANOS, () -> step(this::resolveAttempt));
        return Optional.empty();
    }

    private Optional<RequestAction> considerRetry() {
        FailureType reason = lastFailure.type();
        boolean possible =
                progress.attempts() < MAX_ATTEMPTS
                        && System.nanoTime() < input.deadlineNanos()
                        && reason != FailureType.NO_UPSTREAM;
        boolean allowed = possible && (isChangeOfMembers(reason) || context.pool().trySpendRetry());
        if (allowed) {
            context.metrics().countRetry(reason);
            trail.add(RequestStepKind.RETRY, null, null, reason, null);
        } else if (possible) {
            context.metrics().countRefusal(FailureType.RETRY_BUDGET_EXHAUSTED);
        }
        return progress.retryDecided(allowed);
    }

    private static boolean isChangeOfMembers(FailureType reason) {
        return switch (reason) {
            case UPSTREAM_LEAVING, SHUTTING_DOWN, INCARNATION_MISMATCH, ZONE_OUT -> true;
            default -> false;
        };
    }

    private boolean isBeyondGrace() {
        return System.nanoTime() > input.deadlineNanos() + LATE_GRACE_NANOS;
    }

    private void end(Attempt attempt, AttemptResult attemptResult) {
        attempt.over = true;
        context.pool().recordEnd(attempt.chosen.upstream(), attemptResult);
    }

    private RequestResult finalResult() {
        trail.add(
                RequestStepKind.FINISHED,
                null,
                null,
                answer == null ? lastFailure.type() : null,
                null);
        String servedBy = answer == null ? null : current.chosen.upstream();
        SchedulerException failure = answer == null ? finalFailure() : null;
        return new RequestResult(input.id(), answer, servedBy, progress.attempts(), failure);
    }

    private SchedulerException finalFailure() {
        FailureType type = lastFailure.type();
        Outcome outcome =
                switch (progress.state()) {
                    case FAILED -> Outcome.RAN;
                    case UNKNOWN -> Outcome.UNKNOWN;
                    default -> Outcome.NOT_RUN;
                };
        if (type.outcome() != outcome) {
            type =
                    outcome == Outcome.RAN
                            ? FailureType.UPSTREAM_FAILED
                            : FailureType.OUTCOME_UNKNOWN;
        }
        context.metrics().countRefusal(type);
        long retryAfter = lastFailure.retryAfterMillis();
        if (outcome == Outcome.NOT_RUN && retryAfter == 0) {
            retryAfter = context.pool().backlogMillis().orElse(LONGEST_PROBE_NANOS / 1_000_000);
        }
        return new SchedulerException(type, lastFailure.getMessage(), retryAfter);
    }

    private void note(RequestStepKind kind, Attempt attempt, FailureType reason, String detail) {
        trail.add(kind, attempt.id.toString(), attempt.chosen.upstream(), reason, detail);
    }

    private void later(long nanos, Runnable task) {
        context.timer().schedule(task, nanos, TimeUnit.NANOSECONDS);
    }
}
