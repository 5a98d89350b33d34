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
    /** The weight of the latest result in the health estimate. */
    private static final double HEALTH_SMOOTHING = 0.2;

    /** The health below which an upstream is excluded. */
    private static final double EXCLUSION_THRESHOLD = 0.35;

    /** The lowest health by which the expected time is divided. */
    private static final double MIN_HEALTH = 0.05;

    /** The duration of the first exclusion; each further one in succession is twice as long. */
    private static final long FIRST_EXCLUSION_NANOS = 1_000_000_000L;

    /** The maximum duration of an exclusion. */
    private static final long MAX_EXCLUSION_NANOS = 30_000_000_000L;

    /** The age at which a measurement adds a quarter to the expected time. */
    private static final long STALE_AGE_NANOS = 2_000_000_000L;

    /** The time without a started attempt after which an upstream needs a trial. */
    private static final long TRIAL_AFTER_NANOS = 5_000_000_000L;

    /** The probability that an attempt goes to an upstream that needs a trial. */
    private static final double TRIAL_PROBABILITY = 0.01;

    /** The service time that is assumed while the agent reports none. */
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
        List<UpstreamChoice> trialCandidates = new ArrayList<>();
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
                if (candidate.needsTrial(nowNanos)) {
                    trialCandidates.add(choice);
                }
            }
        }
        if (!trialCandidates.isEmpty() && random.nextDouble() < TRIAL_PROBABILITY) {
            return Optional.of(SelectionPolicy.RANDOM.choose(trialCandidates, random, turn));
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
            // As long as no probe has succeeded since the last exclusion, each attempt is a probe.
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
            // A candidate that was removed and added again has not counted the earlier starts.
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

        /** The moving average of the results: 1 for a success, 0 for a failure. */
        private double health = 1.0;

        /**
         * The duration of the last exclusion; 0 after a successful probe or without an exclusion.
         */
        private long exclusionNanos;

        private long excludedAtNanos;

        /** Whether a single attempt is in flight to test an excluded upstream. */
        private boolean probing;

        private UpstreamChoice choice(String upstream, long nowNanos) {
            return new UpstreamChoice(upstream, expectedNanos(nowNanos), inFlight);
        }

        private long expectedNanos(long nowNanos) {
            int reportedAttempts = measurement.status().running() + measurement.status().queued();
            // The measurement may be older than attempts of this process that are still in flight;
            // inFlight does not include attempts of other processes. The larger number is used.
            int attempts = Math.max(reportedAttempts + sentSinceMeasurement, inFlight);
            int slots = Math.max(1, measurement.status().slots());
            double waitInServiceTimes = Math.max(0, attempts + 1 - slots) / (double) slots;
            double serviceNanos =
                    measurement.status().serviceMicros() == 0
                            ? DEFAULT_SERVICE_NANOS
                            : measurement.status().serviceMicros() * 1_000.0;
            double ageNanos = Math.max(0, nowNanos - measurement.receivedAtNanos());
            // Grows from 1 to at most 2 with the age of the measurement.
            double stalenessFactor = 1 + Math.min(1, ageNanos / STALE_AGE_NANOS / 4);
            double baseNanos =
                    measurement.roundTripNanos() + serviceNanos * (1 + waitInServiceTimes);
            return (long) (baseNanos * stalenessFactor / Math.max(MIN_HEALTH, health));
        }

        private boolean isExcluded(long nowNanos) {
            return exclusionNanos > 0 && (probing || nowNanos - excludedAtNanos < exclusionNanos);
        }

        private boolean needsTrial(long nowNanos) {
            // After the end of an exclusion the trial is a probe.
            return exclusionNanos > 0 || !started || nowNanos - lastStartNanos > TRIAL_AFTER_NANOS;
        }

        private void updateHealth(AttemptResult result, long nowNanos) {
            if (!result.affectsHealth()) {
                probing = false;
                return;
            }
            health += HEALTH_SMOOTHING * (result.success() - health);
            if (result == AttemptResult.SUCCESS && probing) {
                // Keeps a single failure after the exclusion from starting the next exclusion.
                health = Math.max(health, 2 * EXCLUSION_THRESHOLD);
                exclusionNanos = 0;
            } else if (health < EXCLUSION_THRESHOLD && (exclusionNanos == 0 || probing)) {
                // During an exclusion, only the result of a probe starts the next one.
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
