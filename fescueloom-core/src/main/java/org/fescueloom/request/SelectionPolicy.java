package org.fescueloom.request;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/** Names the ways to choose among upstreams; all but the first are baselines to compare with. */
public enum SelectionPolicy {
    /**
     * Takes the upstream that is expected to answer first, with a little chance among near ones.
     */
    EXPECTED_COMPLETION {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            UpstreamChoice best = null;
            double bestCost = Double.MAX_VALUE;
            for (UpstreamChoice choice : choices) {
                double cost = choice.expectedNanos() * (1 + TIE_SPREAD * random.nextDouble());
                if (cost < bestCost) {
                    best = choice;
                    bestCost = cost;
                }
            }
            return best;
        }
    },
    /** Takes the better one of two upstreams drawn at random. */
    TWO_CHOICES {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            UpstreamChoice first = RANDOM.choose(choices, random, turn);
            UpstreamChoice second = RANDOM.choose(choices, random, turn);
            return first.expectedNanos() <= second.expectedNanos() ? first : second;
        }
    },
    /** Takes the upstream with the fewest attempts of this process under way. */
    FEWEST_IN_FLIGHT {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            return choices.stream().min(Comparator.comparingInt(UpstreamChoice::inFlight)).get();
        }
    },
    /** Takes the upstreams in turn. */
    ROUND_ROBIN {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            return choices.get((int) (turn % choices.size()));
        }
    },
    /** Takes any upstream with the same probability. */
    RANDOM {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            return choices.get(random.nextInt(choices.size()));
        }
    };

    private static final double TIE_SPREAD = 0.1;

    abstract UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn);
}
