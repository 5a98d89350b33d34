package org.fescueloom.daemon.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fescueloom.member.Member;
import org.fescueloom.request.AttemptResult;
import org.fescueloom.request.RetryBudget;
import org.fescueloom.request.SelectionPolicy;
import org.fescueloom.request.UpstreamChoice;
import org.fescueloom.request.UpstreamMeasurement;
import org.fescueloom.request.UpstreamSelector;
import org.fescueloom.wire.AgentStatus;
import org.fescueloom.wire.Announcement;

/**
 * Chooses agents for attempts by the status of their upstreams, and holds the retry budget of this
 * entry. Thread-safe.
 */
final class UpstreamPool {
    /** The assumed round-trip time to an agent in the zone of this entry. */
    private static final long SAME_ZONE_ROUND_TRIP_NANOS = 500_000;

    /** The assumed round-trip time to an agent in another zone. */
    private static final long OTHER_ZONE_ROUND_TRIP_NANOS = 3_000_000;

    /** The number of retries that each successful attempt adds to the budget. */
    private static final double RETRIES_PER_SUCCESS = 0.1;

    /** The maximum number of unused retries in the budget. */
    private static final double MAX_UNUSED_RETRIES = 20;

    private final Supplier<List<Member>> agents;
    private final Predicate<String> zoneIsIn;
    private final String zone;
    private final LongSupplier nanoTime;
    private final UpstreamSelector selector;
    private final RetryBudget retryBudget =
            new RetryBudget(RETRIES_PER_SUCCESS, MAX_UNUSED_RETRIES);

    /** The arrival time of the last announcement that was used, by upstream. */
    private final Map<String, Long> lastHeardMillisByUpstream = new HashMap<>();

    /** The assumed round-trip time to the agent, by upstream. */
    private final Map<String, Long> roundTripNanosByUpstream = new HashMap<>();

    /**
     * Creates a pool.
     *
     * @param agents supplies the agents that have announced themselves, not null
     * @param zoneIsIn tests whether an availability zone is in service, not null
     * @param zone the availability zone of this process, not null
     * @param policy the policy for choosing an upstream, not null
     * @param nanoTime the monotonic clock, not null
     */
    UpstreamPool(
            Supplier<List<Member>> agents,
            Predicate<String> zoneIsIn,
            String zone,
            SelectionPolicy policy,
            LongSupplier nanoTime) {
        this.agents = Objects.requireNonNull(agents, "agents");
        this.zoneIsIn = Objects.requireNonNull(zoneIsIn, "zoneIsIn");
        this.zone = Objects.requireNonNull(zone, "zone");
        this.nanoTime = Objects.requireNonNull(nanoTime, "nanoTime");
        this.selector = new UpstreamSelector(policy, new SplittableRandom());
    }

    /** Holds a chosen agent and the expected time until its response arrives. */
    record ChosenAgent(AgentTarget agent, long expectedNanos) {
        String upstream() {
            return agent.upstream();
        }
    }

    /**
     * Chooses an agent for an attempt and records the start of the attempt.
     *
     * @param skippedUpstreams the upstreams that must not be chosen, not null
     * @return the chosen agent, or empty if there is no other usable agent
     */
    synchronized Optional<ChosenAgent> choose(Set<String> skippedUpstreams) {
        long nowNanos = nanoTime.getAsLong();
        Map<String, Member> usableAgents = updateUsableAgents(nowNanos);
        Collection<String> candidates =
                usableAgents.keySet().stream()
                        .filter(upstream -> !skippedUpstreams.contains(upstream))
                        .toList();
        Optional<UpstreamChoice> choice = selector.select(candidates, nowNanos);
        choice.ifPresent(c -> selector.recordStart(c.upstream(), nowNanos));
        return choice.map(
                c -> new ChosenAgent(targetOf(usableAgents.get(c.upstream())), c.expectedNanos()));
    }

    /**
     * Updates the status of an upstream with the one from a response of its agent. Ignored if the
     * agent was not usable when it was last checked.
     *
     * @param agent the agent, not null
     * @param status the status, not null
     */
    synchronized void updateStatus(AgentTarget agent, AgentStatus status) {
        Long roundTrip = roundTripNanosByUpstream.get(agent.upstream());
        if (roundTrip != null) {
            selector.update(new UpstreamMeasurement(status, roundTrip, nanoTime.getAsLong()));
        }
    }

    /**
     * Records the end of an attempt.
     *
     * @param upstream the identifier of the upstream, not null
     * @param result the result of the attempt, not null
     */
    synchronized void recordEnd(String upstream, AttemptResult result) {
        selector.recordEnd(upstream, result, nanoTime.getAsLong());
        if (result == AttemptResult.SUCCESS) {
            retryBudget.recordSuccess();
        }
    }

    /**
     * Takes one retry from the budget.
     *
     * @return false if less than one retry is left
     */
    synchronized boolean trySpendRetry() {
        return retryBudget.trySpend();
    }

    /**
     * Returns the shortest expected time until an upstream could respond to a new request.
     *
     * @return the time in milliseconds, at least 1, or empty if there is no usable agent
     */
    synchronized OptionalLong minExpectedCompletionMillis() {
        long nowNanos = nanoTime.getAsLong();
        return updateUsableAgents(nowNanos).keySet().stream()
                .map(upstream -> selector.expectedNanos(upstream, nowNanos))
                .flatMap(Optional::stream)
                .mapToLong(nanos -> Math.max(1, nanos / 1_000_000))
                .min();
    }

    /**
     * Updates the selector with new announcements and removes unusable agents from it. Returns the
     * usable agents by the identifiers of their upstreams.
     */
    private Map<String, Member> updateUsableAgents(long nowNanos) {
        Map<String, Member> usableAgents = new HashMap<>();
        for (Member agent : agents.get()) {
            AgentStatus status = agent.announcement().agent();
            if (status == null || !agent.acceptsNewWork() || !zoneIsIn.test(agent.zone())) {
                continue;
            }
            usableAgents.put(status.upstream(), agent);
            Long previousHeardMillis =
                    lastHeardMillisByUpstream.put(status.upstream(), agent.lastHeardMillis());
            if (previousHeardMillis == null || previousHeardMillis != agent.lastHeardMillis()) {
                long roundTrip =
                        zone.equals(agent.zone())
                                ? SAME_ZONE_ROUND_TRIP_NANOS
                                : OTHER_ZONE_ROUND_TRIP_NANOS;
                roundTripNanosByUpstream.put(status.upstream(), roundTrip);
                selector.update(new UpstreamMeasurement(status, roundTrip, nowNanos));
            }
        }
        lastHeardMillisByUpstream.keySet().retainAll(usableAgents.keySet());
        roundTripNanosByUpstream.keySet().retainAll(usableAgents.keySet());
        selector.retainOnly(usableAgents.keySet());
        return usableAgents;
    }

    private static AgentTarget targetOf(Member agent) {
        Announcement announcement = agent.announcement();
        return new AgentTarget(
                announcement.agent().upstream(), agent.address(), announcement.incarnation());
    }
}
