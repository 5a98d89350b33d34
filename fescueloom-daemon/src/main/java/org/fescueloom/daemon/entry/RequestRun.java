package org.fescueloom.daemon.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
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
import org.fescueloom.request.RequestState;
import org.fescueloom.wire.RequestClaim;

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
    private static final long LATE_GRACE_NANOS = 30_000_000_000L;
    private static final int MAX_DOUBTS = 4;
    private static final long DOUBT_PAUSE_NANOS = 500_000_000L;
    private static final long PROBE_PAUSE_NANOS = 100_000_000L;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final RequestInput input;
    private final RequestContext context;
    private final RequestTrail trail;
    private final RequestProgress progress;
    private final String runId = UUID.randomUUID().toString();
    private final CompletableFuture<RequestResult> result = new CompletableFuture<>();
    private final Set<String> tried = new HashSet<>();
    private RequestAttempt current;
    private RequestClaim claim;
    private RequestClaim firstRun;
    private SchedulerException lastFailure;
    private AttemptAnswer answer;
    private String servedBy;
    private boolean nowhereElse;

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
        this.progress = new RequestProgress(input.idempotent(), input.needsClaim());
    }

    private interface Step {
        Optional<RequestAction> take();
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
        step(progress::onAccepted);
        return result;
    }

    /** Tells the agent that nobody waits for the attempt that is under way. */
    void callerGone() {
        trail.add(RequestStepKind.CALLER_GONE, "the caller closed its connection");
        context.metrics().count("requests.caller-gone");
        synchronized (this) {
            if (current != null && current.sent != null && !current.over) {
                context.client().cancel(current.id, current.agent());
            }
        }
    }

    private void step(Step step) {
        synchronized (this) {
            if (progress.isFinished()) {
                return;
            }
            Optional<RequestAction> action = step.take();
            while (action.isPresent()) {
                action = perform(action.get());
            }
            trail.setState(progress.state());
            if (!progress.isFinished()) {
                return;
            }
        }
        result.complete(finalResult());
    }

    private Optional<RequestAction> perform(RequestAction action) {
        return switch (action) {
            case CLAIM_IDENTIFIER -> claimIdentifier(null);
            case JOIN_FIRST_RUN -> joinFirstRun();
            case SEND_ATTEMPT -> sendAttempt();
            case RESOLVE_ATTEMPT -> resolveAttempt();
            case CONSIDER_RETRY -> considerRetry();
            case REPORT -> Optional.empty();
        };
    }

    private boolean chooseAttempt() {
        Optional<UpstreamPool.Chosen> chosen = context.pool().choose(tried);
        if (chosen.isEmpty()) {
            nowhereElse = true;
            if (lastFailure == null) {
                lastFailure = failure(FailureType.NO_UPSTREAM, "no upstream takes work now");
            }
            return false;
        }
        current = new RequestAttempt(context.nextAttempt(), chosen.get());
        tried.add(current.chosen.upstream());
        return true;
    }

    private Optional<RequestAction> claimIdentifier(String replaces) {
        if (!chooseAttempt()) {
            return progress.onEvent(
                    replaces == null ? RequestEvent.CLAIM_FAILED : RequestEvent.NOT_RUN);
        }
        RequestAttempt attempt = current;
        claim =
                new RequestClaim(
                        input.id(),
                        runId,
                        input.digest(),
                        attempt.id.toString(),
                        attempt.chosen.upstream(),
                        attempt.agent().address(),
                        attempt.agent().incarnation(),
                        replaces);
        context.claims().claim(claim).thenAccept(r -> step(() -> onClaim(attempt, r)));
        return Optional.empty();
    }

    private Optional<RequestAction> onClaim(RequestAttempt attempt, ClaimClient.Result claimed) {
        boolean joining = progress.state() == RequestState.JOINING;
        switch (claimed.verdict()) {
            case CLAIMED -> {
                trail.add(RequestStepKind.CLAIMED, "the identifier is recorded for this run");
                return progress.onEvent(joining ? RequestEvent.TAKEN_OVER : RequestEvent.CLAIMED);
            }
            case TAKEN -> {
                abandon(attempt);
                firstRun = claimed.other();
                if (!firstRun.digest().equals(input.digest())) {
                    lastFailure =
                            failure(
                                    FailureType.IDENTIFIER_REUSED,
                                    "the identifier was used for another request");
                    return progress.onEvent(RequestEvent.REFUSED);
                }
                return progress.onEvent(RequestEvent.CLAIM_TAKEN);
            }
            default -> {
                abandon(attempt);
                lastFailure =
                        failure(
                                joining
                                        ? FailureType.OUTCOME_UNKNOWN
                                        : FailureType.CLAIM_UNAVAILABLE,
                                "too few agents recorded the identifier");
                return progress.onEvent(joining ? RequestEvent.UNKNOWN : RequestEvent.CLAIM_FAILED);
            }
        }
    }

    private void abandon(RequestAttempt attempt) {
        end(attempt, AttemptResult.REFUSED);
        context.claims().withdraw(claim);
        claim = null;
        tried.remove(attempt.chosen.upstream());
    }

    private Optional<RequestAction> joinFirstRun() {
        RequestClaim other = firstRun;
        context.metrics().count("requests.joined");
        trail.add(
                RequestStepKind.JOINED,
                "the identifier belongs to a run with attempt " + other.attempt());
        AgentTarget agent =
                new AgentTarget(other.upstream(), other.agent(), other.agentIncarnation());
        watch(AttemptId.parse(other.attempt()), agent)
                .thenAccept(report -> step(() -> onFirstRun(other, report)));
        return Optional.empty();
    }

    private Optional<RequestAction> onFirstRun(RequestClaim other, AttemptReport report) {
        if (report.kind() == AttemptReport.Kind.ANSWERED) {
            return onWhole(report.answer(), other.upstream(), false);
        }
        lastFailure = report.failure();
        return switch (lastFailure.type().outcome()) {
            case NOT_RUN -> claimIdentifier(other.attempt());
            case RAN -> progress.onEvent(RequestEvent.FAILED);
            case UNKNOWN -> progress.onEvent(RequestEvent.UNKNOWN);
        };
    }

    private Optional<RequestAction> sendAttempt() {
        if (!input.needsClaim() && !chooseAttempt()) {
            return progress.onAttemptFailed(Outcome.NOT_RUN);
        }
        RequestAttempt attempt = current;
        note(RequestStepKind.ATTEMPT_SENT, attempt, "expected in " + expectedMillis(attempt));
        long left = Math.max(0, input.deadlineNanos() - System.nanoTime());
        Duration timeout = Duration.ofNanos(left + LATE_GRACE_NANOS);
        attempt.sent = context.client().send(attempt.id, input, attempt.agent(), left, timeout);
        attempt.sent.report().thenAccept(report -> step(() -> onReport(attempt, report)));
        attempt.probeNanos = attempt.firstProbeNanos();
        probeLater(attempt, attempt.probeNanos);
        return Optional.empty();
    }

    private void probe(RequestAttempt attempt) {
        synchronized (this) {
            if (isPast(attempt)) {
                return;
            }
        }
        context.client()
                .resolve(attempt.id, attempt.agent(), 0, PROBE_TIMEOUT)
                .thenAccept(report -> step(() -> onProbe(attempt, report)));
    }

    private Optional<RequestAction> onProbe(RequestAttempt attempt, AttemptReport report) {
        if (isPast(attempt) || progress.state() != RequestState.ATTEMPTING) {
            return Optional.empty();
        }
        switch (report.kind()) {
            case RUNNING -> {
                attempt.silent = 0;
                attempt.probeNanos = RequestAttempt.nextProbeNanos(attempt.probeNanos);
                probeLater(attempt, attempt.probeNanos);
                return Optional.empty();
            }
            case LOST, REFUSED -> {
                attempt.silent++;
                if (attempt.silent >= MAX_SILENT_QUESTIONS) {
                    return lost(attempt, report.failure().getMessage());
                }
                probeLater(attempt, PROBE_PAUSE_NANOS);
                return Optional.empty();
            }
            default -> {
                if (isForgotten(report) && ++attempt.doubts < MAX_DOUBTS) {
                    probeLater(attempt, DOUBT_PAUSE_NANOS);
                    return Optional.empty();
                }
                context.metrics().count("connections.silent");
                retire(attempt, "the connection is silent, the agent answers on a fresh one");
                return onReport(attempt, report);
            }
        }
    }

    /** Tells whether the agent has let go of the answer, which may still be on its way. */
    private static boolean isForgotten(AttemptReport report) {
        return report.kind() == AttemptReport.Kind.FAILED
                && report.failure().type().outcome() == Outcome.UNKNOWN;
    }

    private Optional<RequestAction> lost(RequestAttempt attempt, String detail) {
        context.metrics().count("connections.lost");
        retire(attempt, detail);
        return progress.onEvent(RequestEvent.LOST);
    }

    private void retire(RequestAttempt attempt, String detail) {
        note(RequestStepKind.CONNECTION_LOST, attempt, detail);
        attempt.sent.call().cancel(true);
        context.client().retireConnections();
    }

    private Optional<RequestAction> onReport(RequestAttempt attempt, AttemptReport report) {
        if (isPast(attempt)) {
            return Optional.empty();
        }
        return switch (report.kind()) {
            case ANSWERED -> onAnswer(attempt, report.answer());
            case FAILED -> onFailure(attempt, report.failure());
            case RUNNING -> Optional.empty();
            case LOST, REFUSED -> lost(attempt, report.failure().getMessage());
        };
    }

    private Optional<RequestAction> onAnswer(RequestAttempt attempt, AttemptAnswer whole) {
        boolean ownFault = whole.status() >= 500;
        end(attempt, ownFault ? AttemptResult.FAILURE : AttemptResult.SUCCESS);
        note(
                whole.isSuccess()
                        ? RequestStepKind.ATTEMPT_ANSWERED
                        : RequestStepKind.ATTEMPT_FAILED,
                attempt,
                "status " + whole.status());
        return onWhole(whole, attempt.chosen.upstream(), ownFault);
    }

    private Optional<RequestAction> onWhole(
            AttemptAnswer whole, String upstream, boolean mayRepeat) {
        if (whole.isSuccess()) {
            answer = whole;
            servedBy = upstream;
            return progress.onEvent(RequestEvent.ANSWERED);
        }
        lastFailure =
                failure(
                        FailureType.UPSTREAM_FAILED,
                        "upstream " + upstream + " answered " + whole.status());
        return mayRepeat
                ? progress.onAttemptFailed(Outcome.RAN)
                : progress.onEvent(RequestEvent.FAILED);
    }

    private Optional<RequestAction> onFailure(RequestAttempt attempt, SchedulerException failure) {
        boolean healthy =
                failure.type().outcome() == Outcome.NOT_RUN
                        && failure.type() != FailureType.UPSTREAM_UNREACHABLE;
        end(attempt, healthy ? AttemptResult.REFUSED : AttemptResult.FAILURE);
        lastFailure = failure;
        if (failure.type() == FailureType.ATTEMPT_CANCELLED) {
            tried.remove(attempt.chosen.upstream());
        }
        note(
                RequestStepKind.ATTEMPT_FAILED,
                attempt,
                failure.type().text() + ", " + failure.getMessage());
        return progress.onAttemptFailed(failure.type().outcome());
    }

    private Optional<RequestAction> resolveAttempt() {
        RequestAttempt attempt = current;
        watch(attempt.id, attempt.agent())
                .thenAccept(report -> step(() -> onResolved(attempt, report)));
        return Optional.empty();
    }

    private Optional<RequestAction> onResolved(RequestAttempt attempt, AttemptReport report) {
        if (report.kind() == AttemptReport.Kind.LOST) {
            context.client().cancel(attempt.id, attempt.agent());
            return onFailure(attempt, report.failure());
        }
        return onReport(attempt, report);
    }

    private CompletableFuture<AttemptReport> watch(AttemptId id, AgentTarget agent) {
        return new AttemptWatch(
                        context,
                        id,
                        agent,
                        input.idempotent(),
                        input.deadlineNanos(),
                        LATE_GRACE_NANOS)
                .begin();
    }

    private Optional<RequestAction> considerRetry() {
        FailureType reason = lastFailure.type();
        boolean possible =
                progress.attempts() < MAX_ATTEMPTS
                        && System.nanoTime() < input.deadlineNanos()
                        && !nowhereElse;
        boolean allowed = possible && (isFreeOfCharge(reason) || context.pool().trySpendRetry());
        if (allowed) {
            context.metrics().countRetry(reason);
            trail.add(RequestStepKind.RETRY, "because of " + reason.text());
        } else if (possible) {
            context.metrics().count("retries.budget-exhausted");
        }
        return progress.onRetryDecision(allowed);
    }

    /** Tells whether a retry costs no upstream any work, because the attempt went astray. */
    private static boolean isFreeOfCharge(FailureType reason) {
        return switch (reason) {
            case ATTEMPT_CANCELLED,
                    NO_UPSTREAM,
                    UPSTREAM_LEAVING,
                    SHUTTING_DOWN,
                    INCARNATION_MISMATCH,
                    ZONE_OUT ->
                    true;
            default -> false;
        };
    }

    private boolean isPast(RequestAttempt attempt) {
        return attempt.over || current != attempt;
    }

    private void end(RequestAttempt attempt, AttemptResult attemptResult) {
        attempt.over = true;
        if (attempt.probe != null) {
            attempt.probe.cancel(false);
        }
        context.pool().recordEnd(attempt.chosen.upstream(), attemptResult);
    }

    private RequestResult finalResult() {
        if (claim != null && progress.state() == RequestState.NOT_RUN) {
            context.claims().withdraw(claim);
        }
        if (answer != null) {
            trail.add(RequestStepKind.FINISHED, "answered by upstream " + servedBy);
            return new RequestResult(input.id(), answer, servedBy, progress.attempts(), null);
        }
        SchedulerException failure = finalFailure();
        context.metrics().countRefusal(failure.type());
        trail.add(RequestStepKind.FINISHED, failure.type().text() + ", " + failure.getMessage());
        return new RequestResult(input.id(), null, null, progress.attempts(), failure);
    }

    private SchedulerException finalFailure() {
        Outcome outcome =
                switch (progress.state()) {
                    case FAILED -> Outcome.RAN;
                    case UNKNOWN -> Outcome.UNKNOWN;
                    default -> Outcome.NOT_RUN;
                };
        FailureType type = lastFailure.type();
        if (type.outcome() != outcome) {
            type =
                    outcome == Outcome.RAN
                            ? FailureType.UPSTREAM_FAILED
                            : FailureType.OUTCOME_UNKNOWN;
        }
        long retryAfter = lastFailure.retryAfterMillis();
        if (type.status() == 503 && retryAfter == 0) {
            retryAfter = context.pool().backlogMillis().orElse(DEFAULT_RETRY_AFTER_MILLIS);
        }
        return new SchedulerException(type, lastFailure.getMessage(), retryAfter);
    }

    private static SchedulerException failure(FailureType type, String detail) {
        return new SchedulerException(type, detail);
    }

    private void note(RequestStepKind kind, RequestAttempt attempt, String detail) {
        trail.add(kind, attempt.id, attempt.chosen.upstream(), detail);
    }

    private static String expectedMillis(RequestAttempt attempt) {
        return TimeUnit.NANOSECONDS.toMillis(attempt.chosen.expectedNanos()) + " ms";
    }

    private void probeLater(RequestAttempt attempt, long nanos) {
        attempt.probe = context.timer().schedule(() -> probe(attempt), nanos, TimeUnit.NANOSECONDS);
    }
}
