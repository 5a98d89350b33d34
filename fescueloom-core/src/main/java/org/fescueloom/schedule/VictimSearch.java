package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * Finds the victims for a waiting unit: running units that are stopped so that the waiting unit can
 * start. Less urgent units are chosen first, then those with the least loss of work.
 */
final class VictimSearch {
    private final UnitPlacer placer;
    private final Collection<RunningUnit> running;

    /**
     * The running units that are not chosen yet, in the order in which they are chosen; null before
     * the first search.
     */
    private List<RunningUnit> stoppable;

    /**
     * Creates a search.
     *
     * @param placer finds upstreams for the waiting unit, not null
     * @param running the units that may be stopped, not null
     */
    VictimSearch(UnitPlacer placer, Collection<RunningUnit> running) {
        this.placer = placer;
        this.running = running;
    }

    /**
     * Chooses units to stop, which are not chosen again.
     *
     * @param unit the unit that waits for capacity, not null
     * @return the units to stop; empty if no set of units releases enough, or the loss is not
     *     acceptable
     */
    List<RunningUnit> choose(WaitingUnit unit) {
        if (stoppable == null) {
            stoppable = new ArrayList<>(running);
            stoppable.sort(
                    Comparator.comparingInt(RunningUnit::priority)
                            .reversed()
                            .thenComparingDouble(RunningUnit::lostCoreSeconds)
                            .thenComparing(RunningUnit::id));
        }
        List<RunningUnit> victims = search(unit);
        // Identifiers are unique within a round, and cheaper to compare than resources.
        Set<String> chosen = new HashSet<>();
        victims.forEach(victim -> chosen.add(victim.id()));
        stoppable.removeIf(candidate -> chosen.contains(candidate.id()));
        return victims;
    }

    private List<RunningUnit> search(WaitingUnit unit) {
        FitCounter counter = placer.promisedFits(unit);
        List<RunningUnit> victims = new ArrayList<>();
        for (RunningUnit candidate : stoppable) {
            if (mayStop(unit, candidate)) {
                counter.add(candidate.resources());
                victims.add(candidate);
                if (placer.allFit(counter)) {
                    List<RunningUnit> needed = removeUnneeded(counter, victims);
                    return isLossAcceptable(unit, needed) ? needed : List.of();
                }
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
    private List<RunningUnit> removeUnneeded(FitCounter counter, List<RunningUnit> victims) {
        Set<RunningUnit> needed = Collections.newSetFromMap(new IdentityHashMap<>());
        List<RunningUnit> byLoss = new ArrayList<>(victims);
        byLoss.sort(Comparator.comparingDouble(RunningUnit::lostCoreSeconds).reversed());
        for (RunningUnit victim : byLoss) {
            counter.subtract(victim.resources());
            if (!placer.allFit(counter)) {
                counter.add(victim.resources());
                needed.add(victim);
            }
        }
        return victims.stream().filter(needed::contains).toList();
    }
}
