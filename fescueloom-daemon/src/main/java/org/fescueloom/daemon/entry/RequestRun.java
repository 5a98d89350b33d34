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
    private static final int MAX_FAILED_PROBES = 2;
    private static final long GRACE_AFTER_DEADLINE_NANOS = 30_000_000_000L;
    private static final int MAX_UNKNOWN_OUTCOME_PROBES = 4;
    private static final long UNKNOWN_OUTCOME_PROBE_DELAY_NANOS = 500_000_000L;
    private static final long FAILED_PROBE_DELAY_NANOS = 100_000_000L;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final RequestInput input;
    private final RequestContext context;
    private final RequestTrail trail;
    private final RequestProgress progress;
    private final String runId = UUID.randomUUID().toString();
    private final CompletableFuture<RequestResult> result = new CompletableFuture<>();
    private final Set<String> triedUpstreams = new HashSet<>();
    private RequestAttempt currentAttempt;
    private RequestClaim ownClaim;
    private RequestClaim firstRunClaim;
    private SchedulerException lastFailure;
    private AttemptAnswer response;
    private String respondingUpstream;
    private boolean noUpstreamLeft;

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

    private interface EventHandler {
        Optional<RequestAction> handle();
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
        advance(progress::onAccepted);
        return result;
    }

    /** Tells the agent that nobody waits for the attempt that is under way. */
    void onCallerDisconnect() {
        trail.add(RequestStepKind.CALLER_GONE, "the caller closed its connection");
        context.metrics().count("requests.caller-gone");
        synchronized (this) {
            if (currentAttempt != null && currentAttempt.sent != null && !currentAttempt.ended) {
                context.client().cancel(currentAttempt.id, currentAttempt.agent());
            }
        }
    }

    private void advance(EventHandler handler) {
        synchronized (this) {
            if (progress.isFinished()) {
                return;
            }
            Optional<RequestAction> action = handler.handle();
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

    private boolean prepareAttempt() {
        Optional<UpstreamPool.ChosenAgent> chosen = context.pool().choose(triedUpstreams);
        if (chosen.isEmpty()) {
            noUpstreamLeft = true;
            if (lastFailure == null) {
                lastFailure = failure(FailureType.NO_UPSTREAM, "no upstream takes work now");
            }
            return false;
        }
        currentAttempt = new RequestAttempt(context.nextAttemptId(), chosen.get());
        triedUpstreams.add(currentAttempt.chosenAgent.upstream());
        return true;
    }

    private Optional<RequestAction> claimIdentifier(String replacedAttempt) {
        if (!prepareAttempt()) {
            return progress.onEvent(
                    replacedAttempt == null ? RequestEvent.CLAIM_FAILED : RequestEvent.NOT_RUN);
        }
        RequestAttempt attempt = currentAttempt;
        ownClaim =
                new RequestClaim(
                        input.id(),
                        runId,
                        input.digest(),
                        attempt.id.toString(),
                        attempt.chosenAgent.upstream(),
                        attempt.agent().address(),
                        attempt.agent().incarnation(),
                        replacedAttempt);
        context.claims()
                .claim(ownClaim)
                .thenAccept(claimResult -> advance(() -> onClaimResult(attempt, claimResult)));
        return Optional.empty();
    }

    private Optional<RequestAction> onClaimResult(
            RequestAttempt attempt, ClaimClient.ClaimResult claimResult) {
        boolean joining = progress.state() == RequestState.JOINING;
        switch (claimResult.verdict()) {
            case CLAIMED -> {
                trail.add(RequestStepKind.CLAIMED, "the identifier is recorded for this run");
                return progress.onEvent(joining ? RequestEvent.TAKEN_OVER : RequestEvent.CLAIMED);
            }
            case TAKEN -> {
                discardUnsent(attempt);
                firstRunClaim = claimResult.competingClaim();
                if (!firstRunClaim.digest().equals(input.digest())) {
                    lastFailure =
                            failure(
                                    FailureType.IDENTIFIER_REUSED,
                                    "the identifier was used for another request");
                    return progress.onEvent(RequestEvent.REFUSED);
                }
                return progress.onEvent(RequestEvent.CLAIM_TAKEN);
            }
            default -> {
                discardUnsent(attempt);
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

    private void discardUnsent(RequestAttempt attempt) {
        endAttempt(attempt, AttemptResult.REFUSED);
        context.claims().withdraw(ownClaim);
        ownClaim = null;
        triedUpstreams.remove(attempt.chosenAgent.upstream());
    }

    private Optional<RequestAction> joinFirstRun() {
        RequestClaim joinedClaim = firstRunClaim;
        context.metrics().count("requests.joined");
        trail.add(
                RequestStepKind.JOINED,
                "the identifier belongs to a run with attempt " + joinedClaim.attempt());
        AgentTarget agent =
                new AgentTarget(
                        joinedClaim.upstream(),
                        joinedClaim.agent(),
                        joinedClaim.agentIncarnation());
        resolve(AttemptId.parse(joinedClaim.attempt()), agent)
                .thenAccept(report -> advance(() -> onFirstRunReport(joinedClaim, report)));
        return Optional.empty();
    }

    private Optional<RequestAction> onFirstRunReport(
            RequestClaim joinedClaim, AttemptReport report) {
        if (report.kind() == AttemptReport.Kind.ANSWERED) {
            return onResponse(report.response(), joinedClaim.upstream(), false);
        }
        lastFailure = report.failure();
        return switch (lastFailure.type().outcome()) {
            case NOT_RUN -> claimIdentifier(joinedClaim.attempt());
            case RAN -> progress.onEvent(RequestEvent.FAILED);
            case UNKNOWN -> progress.onEvent(RequestEvent.UNKNOWN);
        };
    }

    private Optional<RequestAction> sendAttempt() {
        if (!input.needsClaim() && !prepareAttempt()) {
            return progress.onAttemptFailed(Outcome.NOT_RUN);
        }
        RequestAttempt attempt = currentAttempt;
        addToTrail(
                RequestStepKind.ATTEMPT_SENT, attempt, "expected in " + expectedTimeText(attempt));
        long timeLeftNanos = Math.max(0, input.deadlineNanos() - System.nanoTime());
        Duration timeout = Duration.ofNanos(timeLeftNanos + GRACE_AFTER_DEADLINE_NANOS);
        attempt.sent =
                context.client().send(attempt.id, input, attempt.agent(), timeLeftNanos, timeout);
        attempt.sent.report().thenAccept(report -> advance(() -> onReport(attempt, report)));
        attempt.probeDelayNanos = attempt.firstProbeDelayNanos();
        scheduleProbe(attempt, attempt.probeDelayNanos);
        return Optional.empty();
    }

    private void probe(RequestAttempt attempt) {
        synchronized (this) {
            if (isOutdated(attempt)) {
                return;
            }
        }
        context.client()
                .resolve(attempt.id, attempt.agent(), 0, PROBE_TIMEOUT)
                .thenAccept(report -> advance(() -> onProbeReport(attempt, report)));
    }

    private Optional<RequestAction> onProbeReport(RequestAttempt attempt, AttemptReport report) {
        if (isOutdated(attempt) || progress.state() != RequestState.ATTEMPTING) {
            return Optional.empty();
        }
        switch (report.kind()) {
            case RUNNING -> {
                attempt.failedProbes = 0;
                attempt.probeDelayNanos =
                        RequestAttempt.nextProbeDelayNanos(attempt.probeDelayNanos);
                scheduleProbe(attempt, attempt.probeDelayNanos);
                return Optional.empty();
            }
            case LOST, REFUSED -> {
                attempt.failedProbes++;
                if (attempt.failedProbes >= MAX_FAILED_PROBES) {
                    return onConnectionLost(attempt, report.failure().getMessage());
                }
                scheduleProbe(attempt, FAILED_PROBE_DELAY_NANOS);
                return Optional.empty();
            }
            default -> {
                if (isOutcomeUnknown(report)
                        && ++attempt.unknownOutcomeProbes < MAX_UNKNOWN_OUTCOME_PROBES) {
                    scheduleProbe(attempt, UNKNOWN_OUTCOME_PROBE_DELAY_NANOS);
                    return Optional.empty();
                }
                context.metrics().count("connections.silent");
                abandonConnection(
                        attempt, "the connection is silent, the agent answers on a fresh one");
                return onReport(attempt, report);
            }
        }
    }

    /** Tells whether the agent has let go of the answer, which may still be on its way. */
    private static boolean isOutcomeUnknown(AttemptReport report) {
        return report.kind() == AttemptReport.Kind.FAILED
                && report.failure().type().outcome() == Outcome.UNKNOWN;
    }

    private Optional<RequestAction> onConnectionLost(RequestAttempt attempt, String detail) {
        context.metrics().count("connections.lost");
        abandonConnection(attempt, detail);
        return progress.onEvent(RequestEvent.LOST);
    }

    private void abandonConnection(RequestAttempt attempt, String detail) {
        addToTrail(RequestStepKind.CONNECTION_LOST, attempt, detail);
        attempt.sent.call().cancel(true);
        context.client().closeIdleConnections();
    }

    private Optional<RequestAction> onReport(RequestAttempt attempt, AttemptReport report) {
        if (isOutdated(attempt)) {
            return Optional.empty();
        }
        return switch (report.kind()) {
            case ANSWERED -> onAttemptResponse(attempt, report.response());
            case FAILED -> onAttemptFailure(attempt, report.failure());
            case RUNNING -> Optional.empty();
            case LOST, REFUSED -> onConnectionLost(attempt, report.failure().getMessage());
        };
    }

    private Optional<RequestAction> onAttemptResponse(
            RequestAttempt attempt, AttemptAnswer attemptResponse) {
        boolean serverError = attemptResponse.status() >= 500;
        endAttempt(attempt, serverError ? AttemptResult.FAILURE : AttemptResult.SUCCESS);
        addToTrail(
                attemptResponse.isSuccess()
                        ? RequestStepKind.ATTEMPT_ANSWERED
                        : RequestStepKind.ATTEMPT_FAILED,
                attempt,
                "status " + attemptResponse.status());
        return onResponse(attemptResponse, attempt.chosenAgent.upstream(), serverError);
    }

    private Optional<RequestAction> onResponse(
            AttemptAnswer completeResponse, String upstream, boolean mayRetry) {
        if (completeResponse.isSuccess()) {
            response = completeResponse;
            respondingUpstream = upstream;
            return progress.onEvent(RequestEvent.ANSWERED);
        }
        lastFailure =
                failure(
                        FailureType.UPSTREAM_FAILED,
                        "upstream " + upstream + " answered " + completeResponse.status());
        return mayRetry
                ? progress.onAttemptFailed(Outcome.RAN)
                : progress.onEvent(RequestEvent.FAILED);
    }

    private Optional<RequestAction> onAttemptFailure(
            RequestAttempt attempt, SchedulerException failure) {
        boolean refused =
                failure.type().outcome() == Outcome.NOT_RUN
                        && failure.type() != FailureType.UPSTREAM_UNREACHABLE;
        endAttempt(attempt, refused ? AttemptResult.REFUSED : AttemptResult.FAILURE);
        lastFailure = failure;
        if (failure.type() == FailureType.ATTEMPT_CANCELLED) {
            triedUpstreams.remove(attempt.chosenAgent.upstream());
        }
        addToTrail(
                RequestStepKind.ATTEMPT_FAILED,
                attempt,
                failure.type().text() + ", " + failure.getMessage());
        return progress.onAttemptFailed(failure.type().outcome());
    }

    private Optional<RequestAction> resolveAttempt() {
        RequestAttempt attempt = currentAttempt;
        resolve(attempt.id, attempt.agent())
                .thenAccept(report -> advance(() -> onResolutionReport(attempt, report)));
        return Optional.empty();
    }

    private Optional<RequestAction> onResolutionReport(
            RequestAttempt attempt, AttemptReport report) {
        if (report.kind() == AttemptReport.Kind.LOST) {
            context.client().cancel(attempt.id, attempt.agent());
            return onAttemptFailure(attempt, report.failure());
        }
        return onReport(attempt, report);
    }

    private CompletableFuture<AttemptReport> resolve(AttemptId id, AgentTarget agent) {
        return new AttemptResolver(
                        context,
                        id,
                        agent,
                        input.idempotent(),
                        input.deadlineNanos(),
                        GRACE_AFTER_DEADLINE_NANOS)
                .start();
    }

    private Optional<RequestAction> considerRetry() {
        FailureType reason = lastFailure.type();
        boolean possible =
                progress.attempts() < MAX_ATTEMPTS
                        && System.nanoTime() < input.deadlineNanos()
                        && !noUpstreamLeft;
        boolean allowed =
                possible && (isExemptFromBudget(reason) || context.pool().trySpendRetry());
        if (allowed) {
            context.metrics().countRetry(reason);
            trail.add(RequestStepKind.RETRY, "because of " + reason.text());
        } else if (possible) {
            context.metrics().count("retries.budget-exhausted");
        }
        return progress.onRetryDecision(allowed);
    }

    /** Tells whether a retry costs no upstream any work, because the attempt went astray. */
    private static boolean isExemptFromBudget(FailureType reason) {
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

    private boolean isOutdated(RequestAttempt attempt) {
        return attempt.ended || currentAttempt != attempt;
    }

    private void endAttempt(RequestAttempt attempt, AttemptResult attemptResult) {
        attempt.ended = true;
        if (attempt.nextProbe != null) {
            attempt.nextProbe.cancel(false);
        }
        context.pool().recordEnd(attempt.chosenAgent.upstream(), attemptResult);
    }

    private RequestResult finalResult() {
        if (ownClaim != null && progress.state() == RequestState.NOT_RUN) {
            context.claims().withdraw(ownClaim);
        }
        if (response != null) {
            trail.add(RequestStepKind.FINISHED, "answered by upstream " + respondingUpstream);
            return new RequestResult(
                    input.id(), response, respondingUpstream, progress.attempts(), null);
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
            retryAfter =
                    context.pool().minExpectedCompletionMillis().orElse(DEFAULT_RETRY_AFTER_MILLIS);
        }
        return new SchedulerException(type, lastFailure.getMessage(), retryAfter);
    }

    private static SchedulerException failure(FailureType type, String detail) {
        return new SchedulerException(type, detail);
    }

    private void addToTrail(RequestStepKind kind, RequestAttempt attempt, String detail) {
        trail.add(kind, attempt.id, attempt.chosenAgent.upstream(), detail);
    }

    private static String expectedTimeText(RequestAttempt attempt) {
        return TimeUnit.NANOSECONDS.toMillis(attempt.chosenAgent.expectedNanos()) + " ms";
    }

    private void scheduleProbe(RequestAttempt attempt, long delayNanos) {
        attempt.nextProbe =
                context.timer().schedule(() -> probe(attempt), delayNanos, TimeUnit.NANOSECONDS);
    }
}
