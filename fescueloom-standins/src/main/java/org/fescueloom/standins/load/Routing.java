package org.fescueloom.standins.load;

import java.util.Random;

/** Names how the load tool chooses the target of a request. */
public enum Routing {
    /** Through entries, one after the other; the system does the rest. */
    ENTRIES(false) {
        @Override
        int chooseTarget(int[] inFlight, int index, Random random) {
            return index % inFlight.length;
        }
    },
    /** Directly to upstreams, one after the other. */
    ROUND_ROBIN(true) {
        @Override
        int chooseTarget(int[] inFlight, int index, Random random) {
            return index % inFlight.length;
        }
    },
    /** Directly to upstreams, by chance. */
    RANDOM(true) {
        @Override
        int chooseTarget(int[] inFlight, int index, Random random) {
            return random.nextInt(inFlight.length);
        }
    },
    /** Directly to the upstream with the fewest requests in flight or waiting. */
    FEWEST_IN_FLIGHT(true) {
        @Override
        int chooseTarget(int[] inFlight, int index, Random random) {
            int best = index % inFlight.length;
            for (int i = 0; i < inFlight.length; i++) {
                if (inFlight[i] < inFlight[best]) {
                    best = i;
                }
            }
            return best;
        }
    };

    private final boolean direct;

    Routing(boolean direct) {
        this.direct = direct;
    }

    /**
     * Tells whether requests go to upstreams without the system between.
     *
     * @return true if they queue in the load tool until the upstream has a free slot
     */
    public boolean isDirect() {
        return direct;
    }

    abstract int chooseTarget(int[] inFlight, int requestIndex, Random random);
}
