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
 * Executes one request, from its admission to its final result. {@link RequestProgress} defines the
 * states of the request and the actions that follow an event.
 *
 * <p>While an attempt is in flight, probes ask the agent on new connections for the state of the
 * attempt. Probes detect a connection that is still open but no longer transfers data. All events
 * are handled under the lock of this object; the future of the result is completed outside of the
 * lock.
 *
 * <p>The holder is the other run that holds the request identifier, if there is one.
 */
final class RequestRun {
    /** The maximum number of attempts for one request. */
    private static final int MAX_ATTEMPTS = 4;

    /**
     * The number of failed probes after which the connection of the attempt counts as lost. A probe
     * fails if the agent sends no usable response. A report that the attempt is running resets the
     * count.
     */
    private static final int MAX_FAILED_PROBES = 2;

    /** The time after the deadline for which the entry waits for the end of a running attempt. */
    private static final long GRACE_AFTER_DEADLINE_NANOS = 30_000_000_000L;

    /**
     * The number of probes in which the agent must report the outcome of the attempt as unknown,
     * before the entry accepts this report. Until then the response may still arrive on the
     * connection of the attempt.
     */
    private static final int MAX_UNKNOWN_OUTCOME_PROBES = 4;

    /** The delay before the next probe if the agent has reported the outcome as unknown. */
    private static final long UNKNOWN_OUTCOME_PROBE_DELAY_NANOS = 500_000_000L;

    /** The delay before the next probe after a failed probe. */
    private static final long FAILED_PROBE_DELAY_NANOS = 100_000_000L;

    /** The time after which a caller may retry, if no upstream has an expected response time. */
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

    private final RequestInput input;
    private final RequestContext context;
    private final RequestTrail trail;
    private final RequestProgress progress;
    private final String runId = UUID.randomUUID().toString();
    private final CompletableFuture<RequestResult> result = new CompletableFuture<>();

    /**
     * The upstreams that the next choice skips: those of the attempts so far, except attempts that
     * were not sent or were cancelled.
     */
    private final Set<String> skippedUpstreams = new HashSet<>();

    /** The latest attempt; null before the first one. */
    private RequestAttempt currentAttempt;

    /** The latest claim of this run; null if there is none or it was withdrawn. */
    private RequestClaim ownClaim;

    /** The claim of the holder; null if no holder is known. */
    private RequestClaim holderClaim;

    /** The latest failure; reported to the caller if the request gets no response. */
    private SchedulerException lastFailure;

    /** The complete response for the caller; null if there is none. */
    private AttemptAnswer response;

    private String respondingUpstream;

    /** Whether a choice has found no usable upstream apart from the skipped ones. */
    private boolean noUpstreamLeft;

    /**
     * Creates a run that has not started.
     *
     * @param input the request, not null
     * @param context the shared objects of the request runs, not null
     * @param trail records the processing steps, not null
     */
    RequestRun(RequestInput input, RequestContext context, RequestTrail trail) {
        this.input = Objects.requireNonNull(input, "input");
        this.context = Objects.requireNonNull(context, "context");
        this.trail = Objects.requireNonNull(trail, "trail");
        this.progress = new RequestProgress(input.idempotent(), input.needsClaim());
    }

    /** Handles one event and returns the next action. */
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

    /**
     * Cancels the attempt in flight, if there is one. The agent cancels the attempt only if it has
     * not started at the upstream; the run continues until its result is known.
     */
    void onCallerDisconnect() {
        trail.add(RequestStepKind.CALLER_GONE, "the caller closed its connection");
        context.metrics().count("requests.caller-gone");
        synchronized (this) {
            if (currentAttempt != null && currentAttempt.sent != null && !currentAttempt.ended) {
                context.client().cancel(currentAttempt.id, currentAttempt.agent());
            }
        }
    }

    /** Handles an event and performs the resulting actions, unless the request is finished. */
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
            case JOIN_FIRST_RUN -> joinHolder();
            case SEND_ATTEMPT -> sendAttempt();
            case RESOLVE_ATTEMPT -> resolveCurrentAttempt();
            case CONSIDER_RETRY -> considerRetry();
            // The method advance completes the result after the lock is released.
            case REPORT -> Optional.empty();
        };
    }

    /**
     * Chooses an upstream and creates the next attempt.
     *
     * @return false if there is no usable upstream apart from the skipped ones
     */
    private boolean prepareAttempt() {
        Optional<UpstreamPool.ChosenAgent> chosen = context.pool().choose(skippedUpstreams);
        if (chosen.isEmpty()) {
            noUpstreamLeft = true;
            if (lastFailure == null) {
                lastFailure =
                        failure(
                                FailureType.NO_UPSTREAM,
                                "no upstream accepts new work in a zone that is in service");
            }
            return false;
        }
        currentAttempt = new RequestAttempt(context.nextAttemptId(), chosen.get());
        skippedUpstreams.add(currentAttempt.chosenAgent.upstream());
        return true;
    }

    /**
     * Prepares an attempt and claims the request identifier for it.
     *
     * @param replacedAttempt the attempt of the holder that did not run, so that this run may take
     *     over the identifier; null if there is no holder
     */
    private Optional<RequestAction> claimIdentifier(String replacedAttempt) {
        if (!prepareAttempt()) {
            // Without an upstream the identifier cannot be claimed. The attempt of a holder did
            // not run either.
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
        // In this state, the claim is a takeover: the attempt of the holder did not run.
        boolean joining = progress.state() == RequestState.JOINING;
        switch (claimResult.verdict()) {
            case CLAIMED -> {
                trail.add(
                        RequestStepKind.CLAIMED, "the request identifier is claimed for this run");
                return progress.onEvent(joining ? RequestEvent.TAKEN_OVER : RequestEvent.CLAIMED);
            }
            case TAKEN -> {
                discardUnsent(attempt);
                holderClaim = claimResult.holderClaim();
                if (!holderClaim.digest().equals(input.digest())) {
                    lastFailure =
                            failure(
                                    FailureType.IDENTIFIER_REUSED,
                                    "the identifier "
                                            + input.id()
                                            + " was used for another request");
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
                                "too few agents granted the claim of the request identifier");
                return progress.onEvent(joining ? RequestEvent.UNKNOWN : RequestEvent.CLAIM_FAILED);
            }
        }
    }

    /**
     * Ends an attempt that is not sent because its claim has failed. The claim is withdrawn,
     * because some agents may have granted it.
     */
    private void discardUnsent(RequestAttempt attempt) {
        // This result leaves the health estimate of the upstream unchanged.
        endAttempt(attempt, AttemptResult.REFUSED);
        context.claims().withdraw(ownClaim);
        ownClaim = null;
        skippedUpstreams.remove(attempt.chosenAgent.upstream());
    }

    private Optional<RequestAction> joinHolder() {
        RequestClaim joinedHolder = holderClaim;
        context.metrics().count("requests.joined");
        trail.add(
                RequestStepKind.JOINED,
                "another run holds the request identifier, with attempt " + joinedHolder.attempt());
        AgentTarget agent =
                new AgentTarget(
                        joinedHolder.upstream(),
                        joinedHolder.agent(),
                        joinedHolder.agentIncarnation());
        resolveOutcome(AttemptId.parse(joinedHolder.attempt()), agent)
                .thenAccept(report -> advance(() -> onHolderReport(joinedHolder, report)));
        return Optional.empty();
    }

    private Optional<RequestAction> onHolderReport(
            RequestClaim joinedHolder, AttemptReport report) {
        if (report.kind() == AttemptReport.Kind.ANSWERED) {
            return onResponse(report.response(), joinedHolder.upstream(), false);
        }
        lastFailure = report.failure();
        return switch (lastFailure.type().outcome()) {
            case NOT_RUN -> claimIdentifier(joinedHolder.attempt());
            case RAN -> progress.onEvent(RequestEvent.FAILED);
            case UNKNOWN -> progress.onEvent(RequestEvent.UNKNOWN);
        };
    }

    private Optional<RequestAction> sendAttempt() {
        // With a claim, the attempt was prepared before the claim.
        if (!input.needsClaim() && !prepareAttempt()) {
            return progress.onAttemptFailed(Outcome.NOT_RUN);
        }
        RequestAttempt attempt = currentAttempt;
        addToTrail(
                RequestStepKind.ATTEMPT_SENT,
                attempt,
                "response expected in " + expectedTimeText(attempt));
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
                .requestState(attempt.id, attempt.agent(), 0, PROBE_TIMEOUT)
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
            case NO_RESPONSE, NOT_CONNECTED -> {
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
                        attempt,
                        "no response on the connection, but the agent responds on a new one");
                return onReport(attempt, report);
            }
        }
    }

    /**
     * Tests whether the agent does not know the outcome, for instance because it has dropped the
     * response. The response may still arrive on the connection of the attempt.
     */
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
        // The idle connections may have the same fault.
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
            case NO_RESPONSE, NOT_CONNECTED ->
                    onConnectionLost(attempt, report.failure().getMessage());
        };
    }

    private Optional<RequestAction> onAttemptResponse(
            RequestAttempt attempt, AttemptAnswer attemptResponse) {
        // For the health estimate, only a status of 500 or above is a failure of the upstream. Only
        // after such a status, an idempotent request may be sent again.
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
            AttemptAnswer upstreamResponse, String upstream, boolean mayRetry) {
        if (upstreamResponse.isSuccess()) {
            response = upstreamResponse;
            respondingUpstream = upstream;
            return progress.onEvent(RequestEvent.ANSWERED);
        }
        lastFailure =
                failure(
                        FailureType.UPSTREAM_FAILED,
                        "upstream "
                                + upstream
                                + " responded with status "
                                + upstreamResponse.status());
        return mayRetry
                ? progress.onAttemptFailed(Outcome.RAN)
                : progress.onEvent(RequestEvent.FAILED);
    }

    private Optional<RequestAction> onAttemptFailure(
            RequestAttempt attempt, SchedulerException failure) {
        // An unreachable upstream did not run the attempt either, but has failed for the estimate.
        boolean onlyRefused =
                failure.type().outcome() == Outcome.NOT_RUN
                        && failure.type() != FailureType.UPSTREAM_UNREACHABLE;
        endAttempt(attempt, onlyRefused ? AttemptResult.REFUSED : AttemptResult.FAILURE);
        lastFailure = failure;
        // After a cancelled attempt, the upstream may be chosen again.
        if (failure.type() == FailureType.ATTEMPT_CANCELLED) {
            skippedUpstreams.remove(attempt.chosenAgent.upstream());
        }
        addToTrail(
                RequestStepKind.ATTEMPT_FAILED,
                attempt,
                failure.type().text() + ", " + failure.getMessage());
        return progress.onAttemptFailed(failure.type().outcome());
    }

    private Optional<RequestAction> resolveCurrentAttempt() {
        RequestAttempt attempt = currentAttempt;
        resolveOutcome(attempt.id, attempt.agent())
                .thenAccept(report -> advance(() -> onResolutionReport(attempt, report)));
        return Optional.empty();
    }

    private Optional<RequestAction> onResolutionReport(
            RequestAttempt attempt, AttemptReport report) {
        if (report.kind() == AttemptReport.Kind.NO_RESPONSE) {
            context.client().cancel(attempt.id, attempt.agent());
            return onAttemptFailure(attempt, report.failure());
        }
        return onReport(attempt, report);
    }

    private CompletableFuture<AttemptReport> resolveOutcome(AttemptId id, AgentTarget agent) {
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

    /**
     * Tests whether a retry does not use up the retry budget, because the failed attempt cost no
     * upstream any work.
     */
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

    /**
     * Tests whether the attempt has ended or is not the current one, so events of it are ignored.
     */
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
            trail.add(RequestStepKind.FINISHED, "response of upstream " + respondingUpstream);
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
        // The last attempt may not have run, although an earlier attempt has run or may have run.
        if (type.outcome() != outcome) {
            type =
                    outcome == Outcome.RAN
                            ? FailureType.UPSTREAM_FAILED
                            : FailureType.OUTCOME_UNKNOWN;
        }
        long retryAfterMillis = lastFailure.retryAfterMillis();
        if (type.status() == 503 && retryAfterMillis == 0) {
            retryAfterMillis =
                    context.pool().minExpectedCompletionMillis().orElse(DEFAULT_RETRY_AFTER_MILLIS);
        }
        return new SchedulerException(type, lastFailure.getMessage(), retryAfterMillis);
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
