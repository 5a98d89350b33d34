package org.fescueloom.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import org.fescueloom.report.ExplanationReport;
import org.fescueloom.report.ExplanationStep;
import org.fescueloom.request.AttemptId;
import org.fescueloom.request.RequestState;

/** Records the processing steps of one request, for its explanation. Thread-safe. */
final class RequestTrail {
    /** The maximum number of recorded steps; further steps are dropped. */
    private static final int MAX_STEPS = 60;

    private final String requestId;
    private final String digest;
    private final String entry;
    private final String customer;
    private final String serviceClass;
    private final boolean idempotent;
    private final List<ExplanationStep> steps = new ArrayList<>();
    private RequestState state = RequestState.RECEIVED;

    /**
     * Creates a trail without steps.
     *
     * @param entry the identifier of the entry that handles the request, not null
     * @param input the request, not null; its body is not stored
     */
    RequestTrail(String entry, RequestInput input) {
        this.entry = Objects.requireNonNull(entry, "entry");
        requestId = input.id();
        digest = input.digest();
        customer = input.customer();
        serviceClass = input.serviceClass().name();
        idempotent = input.idempotent();
    }

    /**
     * Adds a step, unless the trail already has the maximum number of steps.
     *
     * @param kind the kind of the step, not null
     * @param detail the decision and its reason, as text, not null
     */
    synchronized void add(RequestStepKind kind, String detail) {
        if (steps.size() < MAX_STEPS) {
            steps.add(new ExplanationStep(System.currentTimeMillis(), kind.text(), detail));
        }
    }

    /**
     * Adds a step that concerns an attempt.
     *
     * @param kind the kind of the step, not null
     * @param attempt the attempt, not null
     * @param upstream the identifier of the attempt's upstream, not null
     * @param detail the decision and its reason, as text, not null
     */
    void add(RequestStepKind kind, AttemptId attempt, String upstream, String detail) {
        add(kind, "attempt " + attempt + " at upstream " + upstream + ": " + detail);
    }

    /**
     * Sets the state of the request.
     *
     * @param newState the new state, not null
     */
    synchronized void setState(RequestState newState) {
        state = newState;
    }

    /**
     * Returns the identifier of the request.
     *
     * @return the identifier, never null
     */
    String requestId() {
        return requestId;
    }

    /**
     * Returns the digest of the request, by which a reused identifier is detected.
     *
     * @return the digest, never null
     */
    String digest() {
        return digest;
    }

    /**
     * Returns a report of the steps recorded so far.
     *
     * @return the report, never null
     */
    synchronized ExplanationReport explain() {
        String stateText = state.name().toLowerCase(Locale.ROOT).replace('_', '-');
        String lastStep = steps.isEmpty() ? "" : "; last: " + steps.get(steps.size() - 1).detail();
        String idempotence = idempotent ? ", idempotent" : ", not idempotent";
        String summary =
                "class "
                        + serviceClass
                        + ", customer "
                        + customer
                        + idempotence
                        + ", entry "
                        + entry;
        return new ExplanationReport(requestId, "request", stateText, summary + lastStep, steps);
    }
}
