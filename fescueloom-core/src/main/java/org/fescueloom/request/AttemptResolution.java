package org.fescueloom.request;

import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.wire.AttemptState;

/**
 * Holds the response of an agent to an entry that asks for the outcome of an attempt.
 *
 * @param state the state, not null
 * @param answer the response of the upstream; null unless the state is {@code ANSWERED} and the
 *     attempt did not fail
 * @param failure the failure that ended the attempt; null if the attempt did not fail
 */
public record AttemptResolution(AttemptState state, AttemptAnswer answer, FailureType failure) {
    /** Checks that the state is not null. */
    public AttemptResolution {
        Objects.requireNonNull(state, "state");
    }

    static AttemptResolution of(AttemptState state) {
        return new AttemptResolution(state, null, null);
    }
}
