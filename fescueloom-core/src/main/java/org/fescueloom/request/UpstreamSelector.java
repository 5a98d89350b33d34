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
 * <p>The expected time grows with the occupancy that the agent reported, the number of attempts
 * that this process has sent since the report, the service time, the round-trip time, the age of
 * the report and the share of recent failures. The share of failures keeps an upstream that fails
 * fast from attracting load. An upstream that keeps failing is excluded and is retried with single
 * attempts at growing intervals. An upstream that has not been chosen for a long time is tried
 * occasionally, so that its recovery is detected.
 *
 * <p>Not thread-safe.
 */
public final class UpstreamSelector {
    private static final double HEALTH_SMOOTHING = 0.2;
    private static final double EXCLUSION_THRESHOLD = 0.35;
    private static final double MIN_HEALTH = 0.05;
    private static final long FIRST_EXCLUSION_NANOS = 1_000_000_000L;
    private static final long MAX_EXCLUSION_NANOS = 30_000_000_000L;
    private static final long STALE_AGE_NANOS = 2_000_000_000L;
    private static final long UNUSED_AFTER_NANOS = 5_000_000_000L;
    private static final double TRY_UNUSED_PROBABILITY = 0.01;
    private static final long DEFAULT_SERVICE_NANOS = 1_000_000L;

    private final SelectionPolicy policy;
    private final RandomGenerator random;
    private final Map<String, Candidate> candidates = new TreeMap<>();
    private long turn;

    /**
     * Creates a selector without upstreams.
     *
     * @param policy the selection policy, not null
     * @param random the source of random numbers, not null
     */
    public UpstreamSelector(SelectionPolicy policy, RandomGenerator random) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Records the status that an agent reported for its upstream.
     *
     * @param measurement the measurement, not null
     */
    public void update(UpstreamMeasurement measurement) {
        Candidate candidate =
                candidates.computeIfAbsent(
                        measurement.status().upstream(), name -> new Candidate());
        candidate.measurement = measurement;
        candidate.sentSinceMeasurement = 0;
    }

    /**
     * Removes all upstreams except the given ones.
     *
     * @param upstreams the identifiers of the upstreams that can still be chosen, not null
     */
    public void retainOnly(Collection<String> upstreams) {
        candidates.keySet().retainAll(Set.copyOf(upstreams));
    }

    /**
     * Chooses an upstream. Excluded upstreams are chosen only if there is no other.
     *
     * @param allowed the identifiers of the upstreams to choose from, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the choice, or empty if no allowed upstream is known
     */
    public Optional<UpstreamChoice> select(Collection<String> allowed, long nowNanos) {
        List<UpstreamChoice> healthy = new ArrayList<>();
        List<UpstreamChoice> excluded = new ArrayList<>();
        List<UpstreamChoice> unused = new ArrayList<>();
        for (Map.Entry<String, Candidate> entry : candidates.entrySet()) {
            Candidate candidate = entry.getValue();
            if (!allowed.contains(entry.getKey())) {
                continue;
            }
            UpstreamChoice choice = candidate.choice(entry.getKey(), nowNanos);
            if (candidate.isExcluded(nowNanos)) {
                excluded.add(choice);
            } else {
                healthy.add(choice);
                if (candidate.isUnused(nowNanos)) {
                    unused.add(choice);
                }
            }
        }
        if (!unused.isEmpty() && random.nextDouble() < TRY_UNUSED_PROBABILITY) {
            return Optional.of(SelectionPolicy.RANDOM.choose(unused, random, turn));
        }
        List<UpstreamChoice> choices = healthy.isEmpty() ? excluded : healthy;
        return choices.isEmpty()
                ? Optional.empty()
                : Optional.of(policy.choose(choices, random, turn++));
    }

    /**
     * Records that an attempt is sent to an upstream.
     *
     * @param upstream the identifier of the upstream; an unknown one is ignored
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void recordStart(String upstream, long nowNanos) {
        Candidate candidate = candidates.get(upstream);
        if (candidate != null) {
            candidate.inFlight++;
            candidate.sentSinceMeasurement++;
            candidate.lastStartNanos = nowNanos;
            candidate.started = true;
            candidate.probing = candidate.exclusionNanos > 0;
        }
    }

    /**
     * Records the end of an attempt.
     *
     * @param upstream the identifier of the upstream; an unknown one is ignored
     * @param result the result of the attempt, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void recordEnd(String upstream, AttemptResult result, long nowNanos) {
        Candidate candidate = candidates.get(upstream);
        if (candidate != null) {
            candidate.inFlight = Math.max(0, candidate.inFlight - 1);
            candidate.updateHealth(result, nowNanos);
        }
    }

    /**
     * Tests whether an upstream is excluded because of its failures.
     *
     * @param upstream the identifier
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return true if the upstream is known and excluded
     */
    public boolean isExcluded(String upstream, long nowNanos) {
        Candidate candidate = candidates.get(upstream);
        return candidate != null && candidate.isExcluded(nowNanos);
    }

    /**
     * Returns the expected time until the response of an upstream arrives.
     *
     * @param upstream the identifier
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the time in nanoseconds, or empty if the upstream is not known
     */
    public Optional<Long> expectedNanos(String upstream, long nowNanos) {
        return Optional.ofNullable(candidates.get(upstream)).map(c -> c.expectedNanos(nowNanos));
    }

    private static final class Candidate {
        private UpstreamMeasurement measurement;
        private int inFlight;
        private int sentSinceMeasurement;
        private boolean started;
        private long lastStartNanos;
        private double health = 1.0;
        private long exclusionNanos;
        private long excludedAtNanos;
        private boolean probing;

        private UpstreamChoice choice(String upstream, long nowNanos) {
            return new UpstreamChoice(upstream, expectedNanos(nowNanos), inFlight);
        }

        private long expectedNanos(long nowNanos) {
            int reportedAttempts = measurement.status().running() + measurement.status().queued();
            int attempts = Math.max(reportedAttempts + sentSinceMeasurement, inFlight);
            int slots = Math.max(1, measurement.status().slots());
            double waitingRounds = Math.max(0, attempts + 1 - slots) / (double) slots;
            double service =
                    measurement.status().serviceMicros() == 0
                            ? DEFAULT_SERVICE_NANOS
                            : measurement.status().serviceMicros() * 1_000.0;
            double age = Math.max(0, nowNanos - measurement.receivedAtNanos());
            double stalenessFactor = 1 + Math.min(1, age / STALE_AGE_NANOS / 4);
            double expected = measurement.roundTripNanos() + service * (1 + waitingRounds);
            return (long) (expected * stalenessFactor / Math.max(MIN_HEALTH, health));
        }

        private boolean isExcluded(long nowNanos) {
            return exclusionNanos > 0 && (probing || nowNanos - excludedAtNanos < exclusionNanos);
        }

        private boolean isUnused(long nowNanos) {
            return exclusionNanos > 0 || !started || nowNanos - lastStartNanos > UNUSED_AFTER_NANOS;
        }

        private void updateHealth(AttemptResult result, long nowNanos) {
            if (!result.affectsHealth()) {
                probing = false;
                return;
            }
            health += HEALTH_SMOOTHING * (result.success() - health);
            if (result == AttemptResult.SUCCESS && probing) {
                health = Math.max(health, 2 * EXCLUSION_THRESHOLD);
                exclusionNanos = 0;
            } else if (health < EXCLUSION_THRESHOLD && (exclusionNanos == 0 || probing)) {
                exclusionNanos =
                        Math.min(
                                MAX_EXCLUSION_NANOS,
                                Math.max(FIRST_EXCLUSION_NANOS, exclusionNanos * 2));
                excludedAtNanos = nowNanos;
            }
            probing = false;
        }
    }
}
