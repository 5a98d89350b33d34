package org.fescueloom.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.request.RequestState;

/** Collects the steps on the way of one request; can be used by many threads. */
final class RequestTrail {
    private static final int MAX_STEPS = 60;

    private final String request;
    private final String entry;
    private final String customer;
    private final String serviceClass;
    private final boolean idempotent;
    private final List<RequestStep> steps = new ArrayList<>();
    private RequestState state = RequestState.RECEIVED;

    /**
     * Creates a trail without steps.
     *
     * @param entry the entry that serves the request, not null
     * @param input the request, not null; its body is not kept
     */
    RequestTrail(String entry, RequestInput input) {
        this.entry = Objects.requireNonNull(entry, "entry");
        request = input.id();
        customer = input.customer();
        serviceClass = input.serviceClass().name();
        idempotent = input.idempotent();
    }

    /**
     * Adds a step; after a bound further steps are dropped.
     *
     * @param kind what happened, not null
     * @param attempt the attempt; null for none
     * @param upstream the upstream; null for none
     * @param reason the type of the failure; null for none
     * @param detail a sentence for a person; null for none
     */
    synchronized void add(
            RequestStepKind kind,
            String attempt,
            String upstream,
            FailureType reason,
            String detail) {
        if (steps.size() < MAX_STEPS) {
            long now = System.currentTimeMillis();
            steps.add(new RequestStep(now, kind, attempt, upstream, reason, detail));
        }
    }

    /**
     * Sets the state of the request.
     *
     * @param newState the state, not null
     */
    synchronized void setState(RequestState newState) {
        state = newState;
    }

    /**
     * Returns the identifier of the request.
     *
     * @return the identifier, never null
     */
    String request() {
        return request;
    }

    /**
     * Explains the way of the request until now.
     *
     * @return the explanation, never null
     */
    synchronized RequestExplanation explain() {
        String text = state.name().toLowerCase(Locale.ROOT).replace('_', '-');
        return new RequestExplanation(
                request, entry, customer, serviceClass, idempotent, text, steps);
    }
}
