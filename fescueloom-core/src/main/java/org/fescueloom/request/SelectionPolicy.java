package org.fescueloom.request;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Enumerates the policies for choosing an upstream. All policies except the first are baselines for
 * comparison.
 */
public enum SelectionPolicy {
    /**
     * Chooses the upstream with the shortest expected time to a response, with a small random
     * factor that spreads attempts over upstreams with similar times.
     */
    EXPECTED_COMPLETION {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            UpstreamChoice best = null;
            double bestCost = Double.MAX_VALUE;
            for (UpstreamChoice choice : choices) {
                double cost =
                        choice.expectedNanos() * (1 + MAX_RANDOM_PENALTY * random.nextDouble());
                if (cost < bestCost) {
                    best = choice;
                    bestCost = cost;
                }
            }
            return best;
        }
    },
    /** Chooses the upstream with the shorter expected time of two that are drawn at random. */
    TWO_CHOICES {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            UpstreamChoice first = RANDOM.choose(choices, random, turn);
            UpstreamChoice second = RANDOM.choose(choices, random, turn);
            return first.expectedNanos() <= second.expectedNanos() ? first : second;
        }
    },
    /** Chooses the upstream with the fewest attempts of this process in flight. */
    FEWEST_IN_FLIGHT {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            return choices.stream().min(Comparator.comparingInt(UpstreamChoice::inFlight)).get();
        }
    },
    /** Chooses the upstreams in turn. */
    ROUND_ROBIN {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            return choices.get((int) (turn % choices.size()));
        }
    },
    /** Chooses each upstream with the same probability. */
    RANDOM {
        @Override
        UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn) {
            return choices.get(random.nextInt(choices.size()));
        }
    };

    /** The maximum random increase of an expected time, relative to that time. */
    private static final double MAX_RANDOM_PENALTY = 0.1;

    /**
     * Chooses one of the upstreams, of which there is at least one; {@code turn} counts the
     * choices.
     */
    abstract UpstreamChoice choose(List<UpstreamChoice> choices, RandomGenerator random, long turn);
}
