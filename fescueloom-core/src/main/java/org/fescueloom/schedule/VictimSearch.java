package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the victims for a waiting unit: running units that are stopped so that the waiting unit can
 * start. Less urgent units are chosen first, then those with the least loss of work. A gang that
 * should run in one rack gets the rack whose victims lose the least work together.
 */
final class VictimSearch {
    /** Orders sets of victims: first those that stop only less urgent units, then by their loss. */
    private static final Comparator<List<RunningUnit>> BY_LOSS =
            Comparator.comparingInt(VictimSearch::mostUrgentPriority)
                    .reversed()
                    .thenComparingDouble(VictimSearch::lostCoreSeconds);

    private final UnitPlacer placer;
    private final Collection<RunningUnit> running;

    /**
     * The running units that are not chosen yet, in the order in which they are chosen; null before
     * the first search.
     */
    private List<RunningUnit> stoppable;

    /** The same units by the racks in which they hold resources, in the same order. */
    private final Map<String, List<RunningUnit>> stoppableByRack = new HashMap<>();

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
            sortRunning();
        }
        List<RunningUnit> victims = search(unit);
        if (!victims.isEmpty()) {
            // Identifiers are unique within a round, and cheaper to compare than resources.
            Set<String> chosen = new HashSet<>();
            victims.forEach(victim -> chosen.add(victim.id()));
            stoppable.removeIf(candidate -> chosen.contains(candidate.id()));
            for (List<RunningUnit> inRack : stoppableByRack.values()) {
                inRack.removeIf(candidate -> chosen.contains(candidate.id()));
            }
        }
        return victims;
    }

    private void sortRunning() {
        stoppable = new ArrayList<>(running);
        stoppable.sort(
                Comparator.comparingInt(RunningUnit::priority)
                        .reversed()
                        .thenComparingDouble(RunningUnit::lostCoreSeconds)
                        .thenComparing(RunningUnit::id));
        for (RunningUnit unit : stoppable) {
            for (String agent : unit.resources().keySet()) {
                List<RunningUnit> inRack =
                        stoppableByRack.computeIfAbsent(
                                placer.rackOf(agent), rack -> new ArrayList<>());
                // A unit with several runs in a rack is listed once.
                if (inRack.isEmpty() || inRack.get(inRack.size() - 1) != unit) {
                    inRack.add(unit);
                }
            }
        }
    }

    private List<RunningUnit> search(WaitingUnit unit) {
        List<RunningUnit> best = List.of();
        if (!placer.mustFitOneRack(unit)) {
            best = search(unit, stoppable, placer.promisedFits(unit), best);
        }
        if (unit.spec().gang() && unit.spec().oneRack()) {
            for (Map.Entry<String, FitCounter> rack : placer.promisedFitsByRack(unit).entrySet()) {
                List<RunningUnit> inRack = stoppableByRack.getOrDefault(rack.getKey(), List.of());
                best = search(unit, inRack, rack.getValue(), best);
            }
        }
        return isLossAcceptable(unit, best) ? best : List.of();
    }

    /**
     * Stops the candidates in their order until the unit of a counter fits.
     *
     * @param best the best victims so far; none if there are none yet
     * @return the needed victims if they are better, otherwise the best ones so far
     */
    private List<RunningUnit> search(
            WaitingUnit unit,
            List<RunningUnit> candidates,
            FitCounter counter,
            List<RunningUnit> best) {
        int bestPriority = mostUrgentPriority(best);
        double bestLoss = best.isEmpty() ? Double.MAX_VALUE : lostCoreSeconds(best);
        List<RunningUnit> victims = new ArrayList<>();
        for (RunningUnit candidate : candidates) {
            if (!mayStop(unit, candidate)) {
                continue;
            }
            boolean tooUrgent = !best.isEmpty() && candidate.priority() < bestPriority;
            if (tooUrgent
                    || candidate.priority() == bestPriority
                            && candidate.lostCoreSeconds() >= bestLoss) {
                // The candidate that completes a set is needed, so the set is not better.
                return best;
            }
            counter.add(candidate.resources());
            victims.add(candidate);
            if (placer.allFit(counter)) {
                List<RunningUnit> needed = removeUnneeded(counter, victims);
                return best.isEmpty() || BY_LOSS.compare(needed, best) < 0 ? needed : best;
            }
        }
        return best;
    }

    private static int mostUrgentPriority(List<RunningUnit> victims) {
        int priority = Integer.MAX_VALUE;
        for (RunningUnit victim : victims) {
            priority = Math.min(priority, victim.priority());
        }
        return priority;
    }

    private static double lostCoreSeconds(List<RunningUnit> victims) {
        double sum = 0;
        for (RunningUnit victim : victims) {
            sum += victim.lostCoreSeconds();
        }
        return sum;
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
        return unit.guaranteed() || lostCoreSeconds(victims) <= unit.coreSeconds();
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
