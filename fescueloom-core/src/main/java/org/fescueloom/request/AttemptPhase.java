package org.fescueloom.request;

import org.fescueloom.wire.AttemptState;

/** Enumerates the states of an attempt at an agent, as defined in the chart "attempt". */
public enum AttemptPhase {
    /** The attempt has not arrived at the agent. */
    ABSENT(AttemptState.CANCELLED),
    /** The attempt waits for a slot of the upstream. */
    QUEUED(AttemptState.CANCELLED),
    /** The attempt has been sent to the upstream. */
    RUNNING(AttemptState.RUNNING),
    /** The agent has stored the complete response of the upstream. */
    ANSWERED(AttemptState.ANSWERED),
    /** The attempt ended without a complete response. */
    FAILED(AttemptState.ANSWERED),
    /** The attempt did not run and will never run. */
    CANCELLED(AttemptState.CANCELLED),
    /** The attempt may have run. */
    UNKNOWN(AttemptState.UNKNOWN);

    private final AttemptState resolvedState;

    AttemptPhase(AttemptState resolvedState) {
        this.resolvedState = resolvedState;
    }

    /**
     * Returns the state that the agent reports to an entry that resolves the attempt. Resolving an
     * attempt that has not started cancels the attempt. A failed attempt is reported as {@code
     * ANSWERED}, with its failure instead of a response.
     *
     * @return the state, never null
     */
    public AttemptState resolvedState() {
        return resolvedState;
    }
}
