package org.fescueloom.request;

import org.fescueloom.wire.AttemptState;

/** Names the states of an attempt at an agent, as in the chart "attempt". */
public enum AttemptPhase {
    /** Has not arrived. */
    ABSENT(AttemptState.CANCELLED),
    /** Waits for a slot. */
    QUEUED(AttemptState.CANCELLED),
    /** At the upstream. */
    RUNNING(AttemptState.RUNNING),
    /** The whole answer is buffered. */
    ANSWERED(AttemptState.ANSWERED),
    /** Ran, without a whole answer. */
    FAILED(AttemptState.ANSWERED),
    /** Did not run and never will. */
    CANCELLED(AttemptState.CANCELLED),
    /** May have run. */
    UNKNOWN(AttemptState.UNKNOWN);

    private final AttemptState resolvedState;

    AttemptPhase(AttemptState resolved) {
        this.resolvedState = resolved;
    }

    /**
     * Returns what an entry learns that asks for the fate of the attempt; one that has not started
     * is cancelled by the question.
     *
     * @return the state, never null
     */
    public AttemptState resolvedState() {
        return resolvedState;
    }
}
