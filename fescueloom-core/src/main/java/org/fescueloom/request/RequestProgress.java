package org.fescueloom.request;

import java.util.Optional;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;
import org.fescueloom.failure.Outcome;

/**
 * Tracks one request from its arrival to its final response.
 *
 * <p>Ensures that a request which is not idempotent is sent again only after a definite "not run",
 * and that "not run" is reported only if no attempt has run or may have run.
 *
 * <p>Not thread-safe.
 */
public final class RequestProgress {
    private static final StateChart<RequestState, RequestEvent, RequestAction> CHART =
            StateChart.load("request", RequestState.class, RequestEvent.class, RequestAction.class);

    private final boolean idempotent;
    private final boolean claimRequired;
    private RequestState state;
    private Outcome worstOutcome;
    private int attempts;

    /**
     * Creates the progress of a request that has just arrived.
     *
     * @param idempotent whether the request may run more than once
     * @param claimRequired whether the request identifier must be claimed before each attempt
     */
    public RequestProgress(boolean idempotent, boolean claimRequired) {
        this(idempotent, claimRequired, CHART.initial(), Outcome.NOT_RUN, 0);
    }

    /** Restores the progress of a request in a given state, as tests of the state space need it. */
    RequestProgress(
            boolean idempotent,
            boolean claimRequired,
            RequestState state,
            Outcome worstOutcome,
            int attempts) {
        this.idempotent = idempotent;
        this.claimRequired = claimRequired;
        this.state = state;
        this.worstOutcome = worstOutcome;
        this.attempts = attempts;
    }

    /**
     * Handles a request that has passed its checks.
     *
     * @return the next action; empty if there is none, never null
     */
    public Optional<RequestAction> onAccepted() {
        return onEvent(claimRequired ? RequestEvent.CLAIM_NEEDED : RequestEvent.ACCEPTED);
    }

    /**
     * Handles a failed attempt whose outcome is final.
     *
     * @param outcome the outcome of the attempt, not null
     * @return the next action; empty if there is none, never null
     */
    public Optional<RequestAction> onAttemptFailed(Outcome outcome) {
        // worstOutcome stays as it is: a finished request ignores every event, and an attempt that
        // did not run does not worsen the outcome.
        if (isFinished() || outcome == Outcome.NOT_RUN) {
            return onEvent(RequestEvent.NOT_RUN);
        }
        // UNKNOWN is worse than RAN, and RAN is worse than NOT_RUN.
        if (worstOutcome != Outcome.UNKNOWN) {
            worstOutcome = outcome;
        }
        if (idempotent) {
            return onEvent(RequestEvent.REPEATABLE);
        }
        return onEvent(outcome == Outcome.RAN ? RequestEvent.FAILED : RequestEvent.UNKNOWN);
    }

    /**
     * Handles the decision whether to make another attempt.
     *
     * @param allowed whether another attempt will be made
     * @return the next action; empty if there is none, never null
     */
    public Optional<RequestAction> onRetryDecision(boolean allowed) {
        if (allowed) {
            return onEvent(claimRequired ? RequestEvent.CLAIM_NEEDED : RequestEvent.RETRY_ALLOWED);
        }
        return onEvent(
                switch (worstOutcome) {
                    case NOT_RUN -> RequestEvent.EXHAUSTED;
                    case RAN -> RequestEvent.EXHAUSTED_FAILED;
                    case UNKNOWN -> RequestEvent.EXHAUSTED_UNKNOWN;
                });
    }

    /**
     * Handles any other event; an event that the current state ignores changes nothing.
     *
     * @param event the event, not null
     * @return the next action; empty if there is none, never null
     */
    public Optional<RequestAction> onEvent(RequestEvent event) {
        Transition<RequestState, RequestAction> transition = CHART.next(state, event);
        state = transition.target();
        if (transition.action().filter(a -> a == RequestAction.SEND_ATTEMPT).isPresent()) {
            attempts++;
        }
        return transition.action();
    }

    /**
     * Returns the state of the request.
     *
     * @return the state, never null
     */
    public RequestState state() {
        return state;
    }

    /**
     * Tests whether the request has its final result.
     *
     * @return true in a terminal state
     */
    public boolean isFinished() {
        return CHART.isTerminal(state);
    }

    /**
     * Returns the number of times that the next action was to send an attempt.
     *
     * @return the number, not negative
     */
    public int attempts() {
        return attempts;
    }

    /**
     * Returns the worst outcome of the attempts so far.
     *
     * @return {@code NOT_RUN} if no attempt has run, {@code RAN} if an attempt has run, {@code
     *     UNKNOWN} if an attempt may have run
     */
    public Outcome worstOutcome() {
        return worstOutcome;
    }
}
