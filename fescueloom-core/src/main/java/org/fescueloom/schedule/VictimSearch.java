package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueloom.work.Resources;

/** Finds the running units whose stop makes room for a unit with the least loss. */
final class VictimSearch {
    private final UnitPlacer fitter;
    private final CapacityLedger ledger;

    /**
     * Creates a search.
     *
     * @param fitter finds places, not null
     * @param ledger the room that is left, not null
     */
    VictimSearch(UnitPlacer fitter, CapacityLedger ledger) {
        this.fitter = fitter;
        this.ledger = ledger;
    }

    /**
     * Finds units to stop.
     *
     * @param unit the tasks that want room, not null
     * @param running the units that may be stopped, not null
     * @return the units to stop; empty if no set of them makes enough room
     */
    List<RunningUnit> search(WaitingUnit unit, Collection<RunningUnit> running) {
        List<RunningUnit> order = new ArrayList<>(running);
        order.removeIf(r -> !mayStop(unit, r));
        order.sort(
                Comparator.comparingInt(RunningUnit::priority)
                        .reversed()
                        .thenComparingDouble(RunningUnit::lostCoreSeconds)
                        .thenComparing(RunningUnit::id));
        Map<String, Resources> gained = new HashMap<>();
        List<RunningUnit> chosen = new ArrayList<>();
        for (RunningUnit victim : order) {
            add(gained, victim);
            chosen.add(victim);
            if (fits(unit, gained)) {
                List<RunningUnit> needed = withoutSurplus(unit, chosen);
                return worthIt(unit, needed) ? needed : List.of();
            }
        }
        return List.of();
    }

    private static boolean mayStop(WaitingUnit unit, RunningUnit running) {
        boolean lessUrgent = running.priority() > unit.priority();
        boolean borrowed = running.priority() == unit.priority() && !running.guaranteed();
        return lessUrgent || (unit.guaranteed() && borrowed);
    }

    /** A guarantee is kept at any cost; otherwise no more work is lost than the unit brings. */
    private static boolean worthIt(WaitingUnit unit, List<RunningUnit> stops) {
        double loss = stops.stream().mapToDouble(RunningUnit::lostCoreSeconds).sum();
        return unit.guaranteed() || loss <= unit.coreSeconds();
    }

    /** Drops each unit that is not needed, the most costly ones first. */
    private List<RunningUnit> withoutSurplus(WaitingUnit unit, List<RunningUnit> chosen) {
        List<RunningUnit> kept = new ArrayList<>(chosen);
        List<RunningUnit> costly = new ArrayList<>(chosen);
        costly.sort(Comparator.comparingDouble(RunningUnit::lostCoreSeconds).reversed());
        for (RunningUnit victim : costly) {
            kept.remove(victim);
            Map<String, Resources> gained = new HashMap<>();
            kept.forEach(r -> add(gained, r));
            if (!fits(unit, gained)) {
                kept.add(victim);
            }
        }
        return kept;
    }

    private boolean fits(WaitingUnit unit, Map<String, Resources> gained) {
        Map<Integer, String> found =
                fitter.findUpstreams(
                        unit,
                        agent ->
                                ledger.capacity(agent, CapacityLedger.CapacityKind.PROMISED)
                                        .plus(gained.getOrDefault(agent, Resources.NONE)));
        return found.size() == unit.taskIndexes().size();
    }

    private static void add(Map<String, Resources> gained, RunningUnit victim) {
        victim.resources().forEach((agent, room) -> gained.merge(agent, room, Resources::plus));
    }
}
