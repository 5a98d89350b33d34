package org.fescueloom.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream for an attempt by its expected completion time.
 *
 * <p>The expectation grows with the occupancy that the agent reported, with what this process has
 * sent since, with the service time, the distance, the age of the figures and the share of recent
 * failures; so an upstream that fails fast draws no load. An upstream that keeps failing is set
 * aside and tried again with single attempts at growing intervals; one that was not chosen for long
 * is tried now and then, so that a recovered one is found.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class UpstreamSelector {
    private static final double HEALTH_SMOOTHING = 0.2;
    private static final double SET_ASIDE_BELOW = 0.35;
    private static final double LEAST_HEALTH = 0.05;
    private static final long FIRST_PAUSE_NANOS = 1_000_000_000L;
    private static final long LONGEST_PAUSE_NANOS = 30_000_000_000L;
    private static final long DOUBTFUL_AGE_NANOS = 2_000_000_000L;
    private static final long UNTRIED_NANOS = 5_000_000_000L;
    private static final double TRY_UNTRIED_PROBABILITY = 0.01;
    private static final long UNKNOWN_SERVICE_NANOS = 1_000_000L;

    private final SelectionPolicy policy;
    private final RandomGenerator random;
    private final Map<String, Candidate> candidates = new TreeMap<>();
    private long turn;

    /**
     * Creates a selector that knows no upstream.
     *
     * @param policy the way to choose, not null
     * @param random the source of random numbers, not null
     */
    public UpstreamSelector(SelectionPolicy policy, RandomGenerator random) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Takes in what an agent says of its upstream.
     *
     * @param figures the figures, not null
     */
    public void update(UpstreamMeasurement figures) {
        Candidate candidate =
                candidates.computeIfAbsent(figures.status().upstream(), name -> new Candidate());
        candidate.figures = figures;
        candidate.startedSince = 0;
    }

    /**
     * Forgets all upstreams but the given ones.
     *
     * @param upstreams the identifiers of those that can still be chosen, not null
     */
    public void retainOnly(Collection<String> upstreams) {
        candidates.keySet().retainAll(Set.copyOf(upstreams));
    }

    /**
     * Chooses an upstream; those that are set aside come last.
     *
     * @param allowed the identifiers to choose among, not null
     * @param nowNanos the time
     * @return the choice, or empty if none of them is known
     */
    public Optional<UpstreamChoice> select(Collection<String> allowed, long nowNanos) {
        List<UpstreamChoice> healthy = new ArrayList<>();
        List<UpstreamChoice> setAside = new ArrayList<>();
        List<UpstreamChoice> untried = new ArrayList<>();
        for (Map.Entry<String, Candidate> entry : candidates.entrySet()) {
            Candidate candidate = entry.getValue();
            if (!allowed.contains(entry.getKey())) {
                continue;
            }
            UpstreamChoice choice = candidate.choice(entry.getKey(), nowNanos);
            if (candidate.isSetAside(nowNanos)) {
                setAside.add(choice);
            } else {
                healthy.add(choice);
                if (candidate.isUntried(nowNanos)) {
                    untried.add(choice);
                }
            }
        }
        if (!untried.isEmpty() && random.nextDouble() < TRY_UNTRIED_PROBABILITY) {
            return Optional.of(SelectionPolicy.RANDOM.choose(untried, random, turn));
        }
        List<UpstreamChoice> choices = healthy.isEmpty() ? setAside : healthy;
        return choices.isEmpty()
                ? Optional.empty()
                : Optional.of(policy.choose(choices, random, turn++));
    }

    /**
     * Counts an attempt that is sent now.
     *
     * @param upstream the identifier of its upstream; an unknown one is passed over
     * @param nowNanos the time
     */
    public void recordStart(String upstream, long nowNanos) {
        Candidate candidate = candidates.get(upstream);
        if (candidate != null) {
            candidate.inFlight++;
            candidate.startedSince++;
            candidate.lastStartNanos = nowNanos;
            candidate.started = true;
            candidate.probing = candidate.pauseNanos > 0;
        }
    }

    /**
     * Counts the end of an attempt.
     *
     * @param upstream the identifier of its upstream; an unknown one is passed over
     * @param result what the attempt says about the upstream, not null
     * @param nowNanos the time
     */
    public void recordEnd(String upstream, AttemptResult result, long nowNanos) {
        Candidate candidate = candidates.get(upstream);
        if (candidate != null) {
            candidate.inFlight = Math.max(0, candidate.inFlight - 1);
            candidate.judge(result, nowNanos);
        }
    }

    /**
     * Tells whether an upstream is set aside for its failures.
     *
     * @param upstream the identifier
     * @param nowNanos the time
     * @return true if it is known and set aside
     */
    public boolean isSetAside(String upstream, long nowNanos) {
        Candidate candidate = candidates.get(upstream);
        return candidate != null && candidate.isSetAside(nowNanos);
    }

    /**
     * Returns the expected time until an answer of one upstream is here.
     *
     * @param upstream the identifier
     * @param nowNanos the time
     * @return the time in nanoseconds, or empty if the upstream is not known
     */
    public Optional<Long> expectedNanos(String upstream, long nowNanos) {
        return Optional.ofNullable(candidates.get(upstream)).map(c -> c.expectedNanos(nowNanos));
    }

    private static final class Candidate {
        private UpstreamMeasurement figures;
        private int inFlight;
        private int startedSince;
        private boolean started;
        private long lastStartNanos;
        private double health = 1.0;
        private long pauseNanos;
        private long pausedAtNanos;
        private boolean probing;

        private UpstreamChoice choice(String upstream, long nowNanos) {
            return new UpstreamChoice(upstream, expectedNanos(nowNanos), inFlight);
        }

        private long expectedNanos(long nowNanos) {
            int reported = figures.status().running() + figures.status().queued();
            int occupied = Math.max(reported + startedSince, inFlight);
            int slots = Math.max(1, figures.status().slots());
            double waiting = Math.max(0, occupied + 1 - slots) / (double) slots;
            double service =
                    figures.status().serviceMicros() == 0
                            ? UNKNOWN_SERVICE_NANOS
                            : figures.status().serviceMicros() * 1_000.0;
            double age = Math.max(0, nowNanos - figures.receivedAtNanos());
            double doubt = 1 + Math.min(1, age / DOUBTFUL_AGE_NANOS / 4);
            double expected = figures.roundTripNanos() + service * (1 + waiting);
            return (long) (expected * doubt / Math.max(LEAST_HEALTH, health));
        }

        private boolean isSetAside(long nowNanos) {
            return pauseNanos > 0 && (probing || nowNanos - pausedAtNanos < pauseNanos);
        }

        private boolean isUntried(long nowNanos) {
            return pauseNanos > 0 || !started || nowNanos - lastStartNanos > UNTRIED_NANOS;
        }

        private void judge(AttemptResult result, long nowNanos) {
            if (!result.affectsHealth()) {
                probing = false;
                return;
            }
            health += HEALTH_SMOOTHING * (result.success() - health);
            if (result == AttemptResult.SUCCESS && probing) {
                health = Math.max(health, 2 * SET_ASIDE_BELOW);
                pauseNanos = 0;
            } else if (health < SET_ASIDE_BELOW && (pauseNanos == 0 || probing)) {
                pauseNanos =
                        Math.min(LONGEST_PAUSE_NANOS, Math.max(FIRST_PAUSE_NANOS, pauseNanos * 2));
                pausedAtNanos = nowNanos;
            }
            probing = false;
        }
    }
}
