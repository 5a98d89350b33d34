package org.fescueloom.daemon.entry;

import java.util.Objects;
import org.fescueloom.failure.FailureType;

/**
 * Records one step on the way of a request.
 *
 * @param atMillis the time, in milliseconds since the epoch
 * @param kind what happened, not null
 * @param attempt the attempt; null if the step is not about one
 * @param upstream the upstream; null if the step is not about one
 * @param reason the type of the failure; null for none
 * @param detail a sentence for a person; null for none
 */
record RequestStep(
        long atMillis,
        RequestStepKind kind,
        String attempt,
        String upstream,
        FailureType reason,
        String detail) {
    /** Checks that the kind is given. */
    RequestStep {
        Objects.requireNonNull(kind, "kind");
    }
}
