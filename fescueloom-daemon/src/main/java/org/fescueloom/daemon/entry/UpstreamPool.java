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
    private static final long SAME_ZONE_NANOS = 500_000;
    private static final long OTHER_ZONE_NANOS = 3_000_000;
    private static final double RETRY_SHARE = 0.1;
    private static final double RETRY_CAPACITY = 20;

    private final Supplier<List<Member>> agents;
    private final Predicate<String> zoneIsIn;
    private final String zone;
    private final LongSupplier nanoTime;
    private final UpstreamSelector selector;
    private final RetryBudget budget = new RetryBudget(RETRY_SHARE, RETRY_CAPACITY);
    private final Map<String, Long> heardAtMillis = new HashMap<>();
    private final Map<String, Long> distances = new HashMap<>();

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
    record Chosen(AgentTarget agent, long expectedNanos) {
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
    synchronized Optional<Chosen> choose(Set<String> excluded) {
        long now = nanoTime.getAsLong();
        Map<String, Member> usable = refresh(now);
        Collection<String> allowed =
                usable.keySet().stream().filter(u -> !excluded.contains(u)).toList();
        Optional<UpstreamChoice> choice = selector.select(allowed, now);
        choice.ifPresent(c -> selector.recordStart(c.upstream(), now));
        return choice.map(c -> new Chosen(target(usable.get(c.upstream())), c.expectedNanos()));
    }

    /**
     * Takes what an agent says of its upstream with an answer.
     *
     * @param agent the agent, not null
     * @param status the status, not null
     */
    synchronized void note(AgentTarget agent, AgentStatus status) {
        Long distance = distances.get(agent.upstream());
        if (distance != null) {
            selector.update(new UpstreamMeasurement(status, distance, nanoTime.getAsLong()));
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
            budget.recordSuccess();
        }
    }

    /**
     * Spends one retry.
     *
     * @return false if none is left
     */
    synchronized boolean trySpendRetry() {
        return budget.trySpend();
    }

    /**
     * Returns the time after which the least loaded upstream could answer a new request.
     *
     * @return the time in milliseconds, or empty if there is no upstream
     */
    synchronized OptionalLong backlogMillis() {
        long now = nanoTime.getAsLong();
        return refresh(now).keySet().stream()
                .map(upstream -> selector.expectedNanos(upstream, now))
                .flatMap(Optional::stream)
                .mapToLong(nanos -> Math.max(1, nanos / 1_000_000))
                .min();
    }

    private Map<String, Member> refresh(long now) {
        Map<String, Member> usable = new HashMap<>();
        for (Member agent : agents.get()) {
            AgentStatus status = agent.announcement().agent();
            if (status == null || !agent.acceptsNewWork() || !zoneIsIn.test(agent.zone())) {
                continue;
            }
            usable.put(status.upstream(), agent);
            Long heard = heardAtMillis.put(status.upstream(), agent.lastHeardMillis());
            if (heard == null || heard != agent.lastHeardMillis()) {
                long distance = zone.equals(agent.zone()) ? SAME_ZONE_NANOS : OTHER_ZONE_NANOS;
                distances.put(status.upstream(), distance);
                selector.update(new UpstreamMeasurement(status, distance, now));
            }
        }
        heardAtMillis.keySet().retainAll(usable.keySet());
        distances.keySet().retainAll(usable.keySet());
        selector.retainOnly(usable.keySet());
        return usable;
    }

    private static AgentTarget target(Member agent) {
        Announcement announcement = agent.announcement();
        return new AgentTarget(
                announcement.agent().upstream(), agent.address(), announcement.incarnation());
    }
}
