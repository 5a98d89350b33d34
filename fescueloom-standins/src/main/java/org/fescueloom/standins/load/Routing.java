package org.fescueloom.standins.load;

import java.util.Random;

/** Lists the ways in which the load generator chooses the target of a request. */
public enum Routing {
    /** To the entries in turn; the entries choose the upstreams. */
    ENTRIES(false) {
        @Override
        int chooseTarget(int[] inFlight, int index, Random random) {
            return index % inFlight.length;
        }
    },
    /** Directly to the upstreams in turn. */
    ROUND_ROBIN(true) {
        @Override
        int chooseTarget(int[] inFlight, int index, Random random) {
            return index % inFlight.length;
        }
    },
    /** Directly to a random upstream. */
    RANDOM(true) {
        @Override
        int chooseTarget(int[] inFlight, int index, Random random) {
            return random.nextInt(inFlight.length);
        }
    },
    /**
     * Directly to the upstream with the fewest requests in flight, including those that wait in the
     * load generator; ties are broken in turn.
     */
    FEWEST_IN_FLIGHT(true) {
        @Override
        int chooseTarget(int[] inFlight, int index, Random random) {
            int target = index % inFlight.length;
            for (int i = 0; i < inFlight.length; i++) {
                if (inFlight[i] < inFlight[target]) {
                    target = i;
                }
            }
            return target;
        }
    };

    private final boolean direct;

    Routing(boolean direct) {
        this.direct = direct;
    }

    /**
     * Returns whether the load generator sends requests directly to upstreams.
     *
     * @return true if the targets are upstreams and requests wait in the load generator for a free
     *     slot; false if the targets are entries
     */
    public boolean isDirect() {
        return direct;
    }

    /**
     * Chooses the target of a request.
     *
     * @param inFlight for each target, the number of requests that were sent or that wait, and have
     *     not ended; not null
     * @param requestIndex the number of the request in the order of arrival, from 0
     * @param random the source of random numbers, not null
     * @return the index of the target
     */
    abstract int chooseTarget(int[] inFlight, int requestIndex, Random random);
}
