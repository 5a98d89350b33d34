package org.fescueloom.schedule;

/** Tells how much of the fleet a scheduling round knows. */
public enum FleetCoverage {
    /** Upstreams that are expected to take tasks have not been heard yet. */
    PARTIAL {
        @Override
        boolean offers(WaitingUnit unit, UpstreamCapacity upstream) {
            // A gang goes at the pace of its slowest member. Unknown speeds may be slow ones. Units
            // with little slack wait for fast upstreams anyway.
            return !unit.spec().gang()
                    || unit.hasLittleSlack()
                    || upstream.slownessUpperBound() <= SOUND_SLOWNESS_BOUND;
        }
    },

    /** Every upstream that is expected to take tasks has been heard, or is assumed to be gone. */
    COMPLETE {
        @Override
        boolean offers(WaitingUnit unit, UpstreamCapacity upstream) {
            return true;
        }
    };

    /** An upstream whose slowness bound is at most this value is known not to be slow. */
    private static final double SOUND_SLOWNESS_BOUND = 1.25;

    /**
     * Tells whether a unit may be placed on an upstream now, rather than wait for upstreams that
     * have not been heard.
     *
     * @param unit the waiting unit, not null
     * @param upstream the upstream, not null
     * @return whether the upstream may take tasks of the unit
     */
    abstract boolean offers(WaitingUnit unit, UpstreamCapacity upstream);
}
