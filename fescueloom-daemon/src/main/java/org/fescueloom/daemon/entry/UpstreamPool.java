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
 * Chooses among the upstreams that agents have announced, and keeps the retry budget; can be used
 * by many threads.
 */
final class UpstreamPool {
    private static final long SAME_ZONE_ROUND_TRIP_NANOS = 500_000;
    private static final long OTHER_ZONE_ROUND_TRIP_NANOS = 3_000_000;
    private static final double RETRIES_PER_SUCCESS = 0.1;
    private static final double MAX_UNUSED_RETRIES = 20;

    private final Supplier<List<Member>> agents;
    private final Predicate<String> zoneIsIn;
    private final String zone;
    private final LongSupplier nanoTime;
    private final UpstreamSelector selector;
    private final RetryBudget retryBudget =
            new RetryBudget(RETRIES_PER_SUCCESS, MAX_UNUSED_RETRIES);
    private final Map<String, Long> lastHeardMillis = new HashMap<>();
    private final Map<String, Long> roundTripNanos = new HashMap<>();

    /**
     * Creates a pool.
     *
     * @param agents lists the agents that have announced themselves, not null
     * @param zoneIsIn tells whether an availability zone is in service, not null
     * @param zone the availability zone of this process, not null
     * @param policy the way to choose, not null
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

    /** Is an agent that was chosen, with the time after which its answer is expected. */
    record ChosenAgent(AgentTarget agent, long expectedNanos) {
        String upstream() {
            return agent.upstream();
        }
    }

    /**
     * Chooses an agent and counts the attempt at it.
     *
     * @param excluded the upstreams that must not be chosen, not null
     * @return the choice, or empty if there is no other usable agent
     */
    synchronized Optional<ChosenAgent> choose(Set<String> triedUpstreams) {
        long nowNanos = nanoTime.getAsLong();
        Map<String, Member> usableAgents = updateUsableAgents(nowNanos);
        Collection<String> candidates =
                usableAgents.keySet().stream()
                        .filter(upstream -> !triedUpstreams.contains(upstream))
                        .toList();
        Optional<UpstreamChoice> choice = selector.select(candidates, nowNanos);
        choice.ifPresent(c -> selector.recordStart(c.upstream(), nowNanos));
        return choice.map(
                c -> new ChosenAgent(targetOf(usableAgents.get(c.upstream())), c.expectedNanos()));
    }

    /**
     * Takes what an agent says of its upstream with an answer.
     *
     * @param agent the agent, not null
     * @param status the status, not null
     */
    synchronized void updateStatus(AgentTarget agent, AgentStatus status) {
        Long roundTrip = roundTripNanos.get(agent.upstream());
        if (roundTrip != null) {
            selector.update(new UpstreamMeasurement(status, roundTrip, nanoTime.getAsLong()));
        }
    }

    /**
     * Counts the end of an attempt.
     *
     * @param upstream the upstream, not null
     * @param result what the attempt says about the upstream, not null
     */
    synchronized void recordEnd(String upstream, AttemptResult result) {
        selector.recordEnd(upstream, result, nanoTime.getAsLong());
        if (result == AttemptResult.SUCCESS) {
            retryBudget.recordSuccess();
        }
    }

    /**
     * Spends one retry.
     *
     * @return false if none is left
     */
    synchronized boolean trySpendRetry() {
        return retryBudget.trySpend();
    }

    /**
     * Returns the time after which the least loaded upstream could answer a new request.
     *
     * @return the time in milliseconds, or empty if there is no upstream
     */
    synchronized OptionalLong minExpectedCompletionMillis() {
        long nowNanos = nanoTime.getAsLong();
        return updateUsableAgents(nowNanos).keySet().stream()
                .map(upstream -> selector.expectedNanos(upstream, nowNanos))
                .flatMap(Optional::stream)
                .mapToLong(nanos -> Math.max(1, nanos / 1_000_000))
                .min();
    }

    private Map<String, Member> updateUsableAgents(long nowNanos) {
        Map<String, Member> usableAgents = new HashMap<>();
        for (Member agent : agents.get()) {
            AgentStatus status = agent.announcement().agent();
            if (status == null || !agent.acceptsNewWork() || !zoneIsIn.test(agent.zone())) {
                continue;
            }
            usableAgents.put(status.upstream(), agent);
            Long previousHeardMillis =
                    lastHeardMillis.put(status.upstream(), agent.lastHeardMillis());
            if (previousHeardMillis == null || previousHeardMillis != agent.lastHeardMillis()) {
                long roundTrip =
                        zone.equals(agent.zone())
                                ? SAME_ZONE_ROUND_TRIP_NANOS
                                : OTHER_ZONE_ROUND_TRIP_NANOS;
                roundTripNanos.put(status.upstream(), roundTrip);
                selector.update(new UpstreamMeasurement(status, roundTrip, nowNanos));
            }
        }
        lastHeardMillis.keySet().retainAll(usableAgents.keySet());
        roundTripNanos.keySet().retainAll(usableAgents.keySet());
        selector.retainOnly(usableAgents.keySet());
        return usableAgents;
    }

    private static AgentTarget targetOf(Member agent) {
        Announcement announcement = agent.announcement();
        return new AgentTarget(
                announcement.agent().upstream(), agent.address(), announcement.incarnation());
    }
}
