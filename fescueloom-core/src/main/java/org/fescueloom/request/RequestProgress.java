package org.fescueloom.request;

import java.util.Optional;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;
import org.fescueloom.failure.Outcome;

/**
 * Follows one request from its arrival to its final answer.
 *
 * <p>Holds that a request which is not idempotent is sent again only after a definite "not run",
 * and that "not run" is reported only if no attempt has run or may have run.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class RequestProgress {
    private static final StateChart<RequestState, RequestEvent, RequestAction> CHART =
            StateChart.load("request", RequestState.class, RequestEvent.class, RequestAction.class);

    private final boolean idempotent;
    private final boolean claimed;
    private RequestState state;
    private Outcome worst;
    private int attempts;

    /**
     * Creates a request that has just arrived.
     *
     * @param idempotent whether the request may run more than once
     * @param claimed whether the identifier must be recorded before each attempt
     */
    public RequestProgress(boolean idempotent, boolean claimed) {
        this(idempotent, claimed, CHART.initial(), Outcome.NOT_RUN, 0);
    }

    RequestProgress(
            boolean idempotent, boolean claimed, RequestState state, Outcome worst, int attempts) {
        this.idempotent = idempotent;
        this.claimed = claimed;
        this.state = state;
        this.worst = worst;
        this.attempts = attempts;
    }

    /**
     * Takes the success of the checks.
     *
     * @return what to do next, never null
     */
    public Optional<RequestAction> onAccepted() {
        return onEvent(claimed ? RequestEvent.CLAIM_NEEDED : RequestEvent.ACCEPTED);
    }

    /**
     * Takes the failure of an attempt that the agent reported as binding.
     *
     * @param outcome what became of the attempt, not null
     * @return what to do next, never null
     */
    public Optional<RequestAction> onAttemptFailed(Outcome outcome) {
        if (isFinished() || outcome == Outcome.NOT_RUN) {
            return onEvent(RequestEvent.NOT_RUN);
        }
        if (worst != Outcome.UNKNOWN) {
            worst = outcome;
        }
        if (idempotent) {
            return onEvent(RequestEvent.REPEATABLE);
        }
        return onEvent(outcome == Outcome.RAN ? RequestEvent.FAILED : RequestEvent.UNKNOWN);
    }

    /**
     * Takes the decision on another attempt.
     *
     * @param allowed whether another attempt is made
     * @return what to do next, never null
     */
    public Optional<RequestAction> onRetryDecision(boolean allowed) {
        if (allowed) {
            return onEvent(claimed ? RequestEvent.CLAIM_NEEDED : RequestEvent.RETRY_ALLOWED);
        }
        return onEvent(
                switch (worst) {
                    case NOT_RUN -> RequestEvent.EXHAUSTED;
                    case RAN -> RequestEvent.EXHAUSTED_FAILED;
                    case UNKNOWN -> RequestEvent.EXHAUSTED_UNKNOWN;
                });
    }

    /**
     * Takes any other event; one that the state does not expect changes nothing.
     *
     * @param event the event, not null
     * @return what to do next, never null
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
     * Returns the state.
     *
     * @return the state, never null
     */
    public RequestState state() {
        return state;
    }

    /**
     * Tells whether the request has its final answer.
     *
     * @return true in a terminal state
     */
    public boolean isFinished() {
        return CHART.isTerminal(state);
    }

    /**
     * Returns how many attempts were made.
     *
     * @return the number, not negative
     */
    public int attempts() {
        return attempts;
    }

    /**
     * Returns the worst that became of the attempts so far.
     *
     * @return {@code NOT_RUN} if none has run, {@code UNKNOWN} if one may have run
     */
    public Outcome worstOutcome() {
        return worst;
    }
}
