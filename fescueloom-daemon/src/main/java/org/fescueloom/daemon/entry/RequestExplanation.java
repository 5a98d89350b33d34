package org.fescueloom.daemon.entry;

import java.util.List;
import java.util.Objects;

/**
 * Explains the way of a request.
 *
 * @param request the identifier of the request, not null
 * @param entry the entry that served it, not null
 * @param customer the customer, not null
 * @param serviceClass the class, not null
 * @param idempotent whether the request may run more than once
 * @param state the state of the request, not null
 * @param steps the steps in order, not null
 */
record RequestExplanation(
        String request,
        String entry,
        String customer,
        String serviceClass,
        boolean idempotent,
        String state,
        List<RequestStep> steps) {
    /** Copies the steps. */
    RequestExplanation {
        Objects.requireNonNull(request, "request");
        steps = List.copyOf(steps);
    }
}
