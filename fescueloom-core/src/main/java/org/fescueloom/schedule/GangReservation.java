package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;

/**
 * Reserves capacity for gangs that wait until enough of it is free at once, so that smaller units
 * of lower rank do not take it piece by piece.
 *
 * <p>A reservation is made where the least capacity is missing, and kept from round to round. A
 * gang therefore waits no longer than what runs there when it comes, however wrong the estimates of
 * run times are. One gang of each service holds a reservation at a time, the one of the highest
 * rank; other units fill the other upstreams.
 */
final class GangReservation {
    private final CapacityLedger ledger;
    private final UnitPlacer placer;
    private final Map<String, List<String>> earlier;
    private final Map<String, List<String>> agentsByUnit = new HashMap<>();
    private final Set<String> servicesWithReservation = new HashSet<>();

    /** Holds upstreams for all tasks of a gang; an agent is repeated for each of its tasks. */
    private record Choice(List<String> agents, double missing) {}

    /**
     * Creates the reservations of one round.
     *
     * @param ledger the remaining capacity, not null
     * @param placer selects the upstreams that may take tasks, not null
     * @param earlier the reservations of the round before, by {@link WaitingUnit#id}; not null
     */
    GangReservation(CapacityLedger ledger, UnitPlacer placer, Map<String, List<String>> earlier) {
        this.ledger = ledger;
        this.placer = placer;
        this.earlier = earlier;
    }

    /** Returns the agents of each reservation, one for each task, by the identifier of the unit. */
    Map<String, List<String>> agentsByUnit() {
        return agentsByUnit;
    }

    /**
     * Reserves the capacity that a gang waits for. Has no effect if a gang of the same service has
     * a reservation already, or if the gang does not fit anywhere.
     *
     * @param gang the gang, not null
     */
    void reserve(WaitingUnit gang) {
        if (servicesWithReservation.contains(gang.service())) {
            return;
        }
        List<String> agents = earlier.getOrDefault(gang.id(), List.of());
        if (!couldHold(gang, agents)) {
            agents = chooseAgents(gang);
        }
        if (!agents.isEmpty()) {
            Resources need = gang.spec().reservedResources();
            agents.forEach(agent -> ledger.reserve(agent, need));
            agentsByUnit.put(gang.id(), agents);
            servicesWithReservation.add(gang.service());
        }
    }

    /** Tells whether the agents are as many as the tasks, and may all still take them. */
    private boolean couldHold(WaitingUnit gang, List<String> agents) {
        Map<String, Integer> tasksPerAgent = new HashMap<>();
        agents.forEach(agent -> tasksPerAgent.merge(agent, 1, Integer::sum));
        Map<String, Long> limits = new HashMap<>();
        for (UpstreamCapacity upstream : placer.candidates(gang)) {
            limits.put(upstream.agent(), limit(gang.spec(), upstream));
        }
        return agents.size() == gang.taskIndexes().size()
                && tasksPerAgent.entrySet().stream()
                        .allMatch(e -> e.getValue() <= limits.getOrDefault(e.getKey(), 0L));
    }

    /** Chooses an upstream for each task of a gang; returns none if the gang fits nowhere. */
    private List<String> chooseAgents(WaitingUnit gang) {
        Choice best = null;
        for (List<UpstreamCapacity> allowed : placer.candidateGroups(gang)) {
            Choice choice = choose(gang, allowed);
            if (choice != null && (best == null || choice.missing() < best.missing())) {
                best = choice;
            }
        }
        return best == null ? List.of() : best.agents();
    }

    /** Chooses upstreams for the tasks of a gang one by one; returns null if they do not fit. */
    private Choice choose(WaitingUnit gang, List<UpstreamCapacity> allowed) {
        StepSpec spec = gang.spec();
        Map<String, Integer> chosenTasks = new HashMap<>();
        List<String> agents = new ArrayList<>();
        double missing = 0;
        while (agents.size() < gang.taskIndexes().size()) {
            UpstreamCapacity next =
                    allowed.stream()
                            .filter(u -> chosenTasks.getOrDefault(u.agent(), 0) < limit(spec, u))
                            .min(
                                    Comparator.comparingDouble(
                                                    (UpstreamCapacity u) ->
                                                            missing(spec, u, chosenTasks))
                                            .thenComparingDouble(
                                                    u -> UnitPlacer.preference(gang, u))
                                            .thenComparing(UpstreamCapacity::agent))
                            .orElse(null);
            if (next == null) {
                return null;
            }
            missing += missing(spec, next, chosenTasks);
            chosenTasks.merge(next.agent(), 1, Integer::sum);
            agents.add(next.agent());
        }
        return new Choice(agents, missing);
    }

    /** Returns how many tasks of a step fit into an upstream at a time. */
    private static long limit(StepSpec spec, UpstreamCapacity upstream) {
        long fitting = upstream.attainable().quotient(spec.reservedResources());
        return spec.maxPerUpstream() == 0 ? fitting : Math.min(fitting, spec.maxPerUpstream());
    }

    /**
     * Returns what an upstream lacks for one more task beside the tasks chosen so far, as a share
     * of the need of the task; 0 if the task fits.
     */
    private double missing(
            StepSpec spec, UpstreamCapacity upstream, Map<String, Integer> chosenTasks) {
        Resources need = spec.reservedResources();
        int tasks = 1 + chosenTasks.getOrDefault(upstream.agent(), 0);
        Resources left =
                ledger.capacity(upstream.agent(), CapacityLedger.CapacityKind.PROMISED)
                        .minus(need.times(tasks));
        double share = share(-left.cpuMillis(), need.cpuMillis());
        share = Math.max(share, share(-left.memoryMegabytes(), need.memoryMegabytes()));
        return Math.max(share, share(-left.accelerators(), need.accelerators()));
    }

    private static double share(long missing, long need) {
        return missing <= 0 ? 0 : (double) missing / Math.max(1, need);
    }
}
