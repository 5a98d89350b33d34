package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.work.Resources;

/**
 * Finds the victims for a waiting unit: running units that are stopped so that the waiting unit can
 * start. Less urgent units are chosen first, then those with the least loss of work.
 */
final class VictimSearch {
    private final UnitPlacer placer;
    private final CapacityLedger ledger;

    /**
     * Creates a search.
     *
     * @param placer finds upstreams for the waiting unit, not null
     * @param ledger the remaining capacity, not null
     */
    VictimSearch(UnitPlacer placer, CapacityLedger ledger) {
        this.placer = placer;
        this.ledger = ledger;
    }

    /**
     * Finds units to stop.
     *
     * @param unit the unit that waits for capacity, not null
     * @param running the units that may be stopped, not null
     * @return the units to stop; empty if no set of units releases enough, or the loss is not
     *     acceptable
     */
    List<RunningUnit> search(WaitingUnit unit, Collection<RunningUnit> running) {
        List<RunningUnit> candidates = new ArrayList<>(running);
        candidates.removeIf(r -> !mayStop(unit, r));
        candidates.sort(
                Comparator.comparingInt(RunningUnit::priority)
                        .reversed()
                        .thenComparingDouble(RunningUnit::lostCoreSeconds)
                        .thenComparing(RunningUnit::id));
        Map<String, Resources> releasedByAgent = new HashMap<>();
        List<RunningUnit> victims = new ArrayList<>();
        for (RunningUnit victim : candidates) {
            addResources(releasedByAgent, victim);
            victims.add(victim);
            if (fits(unit, releasedByAgent)) {
                List<RunningUnit> needed = removeUnneeded(unit, victims);
                return isLossAcceptable(unit, needed) ? needed : List.of();
            }
        }
        return List.of();
    }

    /**
     * Tells whether a waiting unit may stop a running unit because of its priority or its
     * guarantee.
     */
    private static boolean mayStop(WaitingUnit unit, RunningUnit running) {
        boolean lessUrgent = running.priority() > unit.priority();
        boolean borrowed = running.priority() == unit.priority() && !running.guaranteed();
        return lessUrgent || (unit.guaranteed() && borrowed);
    }

    /**
     * Tells whether the work that is lost when victims are stopped is acceptable. A guaranteed unit
     * may stop victims whatever is lost; any other unit may not cause the loss of more work than
     * its own tasks have.
     */
    private static boolean isLossAcceptable(WaitingUnit unit, List<RunningUnit> victims) {
        double lostCoreSeconds = victims.stream().mapToDouble(RunningUnit::lostCoreSeconds).sum();
        return unit.guaranteed() || lostCoreSeconds <= unit.coreSeconds();
    }

    /**
     * Removes each victim without which the waiting unit fits too. Victims with the greatest loss
     * are tested first.
     */
    private List<RunningUnit> removeUnneeded(WaitingUnit unit, List<RunningUnit> victims) {
        List<RunningUnit> needed = new ArrayList<>(victims);
        List<RunningUnit> byLoss = new ArrayList<>(victims);
        byLoss.sort(Comparator.comparingDouble(RunningUnit::lostCoreSeconds).reversed());
        for (RunningUnit victim : byLoss) {
            needed.remove(victim);
            Map<String, Resources> releasedByAgent = new HashMap<>();
            needed.forEach(r -> addResources(releasedByAgent, r));
            if (!fits(unit, releasedByAgent)) {
                needed.add(victim);
            }
        }
        return needed;
    }

    /**
     * Tells whether a unit fits into the promised capacity plus the resources that victims release.
     */
    private boolean fits(WaitingUnit unit, Map<String, Resources> releasedByAgent) {
        Map<Integer, String> agentByTaskIndex =
                placer.findUpstreams(
                        unit,
                        agent ->
                                ledger.capacity(agent, CapacityLedger.CapacityKind.PROMISED)
                                        .plus(releasedByAgent.getOrDefault(agent, Resources.NONE)));
        return agentByTaskIndex.size() == unit.taskIndexes().size();
    }

    private static void addResources(Map<String, Resources> releasedByAgent, RunningUnit victim) {
        victim.resources()
                .forEach(
                        (agent, resources) ->
                                releasedByAgent.merge(agent, resources, Resources::plus));
    }
}
