package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans one round.
 *
 * <p>Units are served by priority, then those that can be in time before those that will be late,
 * then by the time at which their job should be done. Units of priority 0 may stop less urgent
 * ones, and those within the guarantee of their customer also urgent ones of customers that have
 * borrowed more than theirs. The room that a stop gives back is kept for the unit that asked for
 * it, because the next round finds it in the same order.
 */
public final class TaskScheduler {
    private static final int PREEMPTING_PRIORITY = 0;

    private TaskScheduler() {}

    /**
     * Decides what starts and what is stopped.
     *
     * @param waiting the tasks that may start, not null
     * @param running the units that may be stopped, not null
     * @param rooms the upstreams that may take tasks, not null
     * @return the plan, never null
     */
    public static SchedulePlan plan(
            Collection<WaitingUnit> waiting,
            Collection<RunningUnit> running,
            Collection<UpstreamCapacity> rooms) {
        CapacityLedger ledger = new CapacityLedger(rooms);
        UnitPlacer fitter = new UnitPlacer(ledger);
        VictimSearch victims = new VictimSearch(fitter, ledger);
        List<Assignment> starts = new ArrayList<>();
        Set<RunningUnit> left = new HashSet<>(running);
        List<RunningUnit> stops = new ArrayList<>();
        for (WaitingUnit unit : byRank(waiting)) {
            Map<Integer, String> found =
                    fitter.findUpstreams(unit, CapacityLedger.CapacityKind.FREE);
            if (!found.isEmpty()) {
                starts.add(new Assignment(unit, found));
                take(ledger, unit, found);
            }
            if (found.size() < unit.taskIndexes().size()
                    && unit.priority() == PREEMPTING_PRIORITY) {
                WaitingUnit rest = without(unit, found);
                List<RunningUnit> chosen = makeRoom(rest, left, ledger, fitter, victims);
                left.removeAll(chosen);
                stops.addAll(chosen);
            }
        }
        return new SchedulePlan(starts, stops);
    }

    private static List<WaitingUnit> byRank(Collection<WaitingUnit> waiting) {
        List<WaitingUnit> ranked = new ArrayList<>(waiting);
        ranked.sort(
                Comparator.comparingInt(WaitingUnit::priority)
                        .thenComparing(WaitingUnit::guaranteed, Comparator.reverseOrder())
                        .thenComparing(WaitingUnit::prospect)
                        .thenComparingLong(WaitingUnit::objectiveMillis)
                        .thenComparing(WaitingUnit::job)
                        .thenComparingInt(WaitingUnit::occurrence)
                        .thenComparingInt(WaitingUnit::step));
        return ranked;
    }

    /** Keeps promised room for a unit; stops others if there is not enough of it. */
    private static List<RunningUnit> makeRoom(
            WaitingUnit unit,
            Set<RunningUnit> running,
            CapacityLedger ledger,
            UnitPlacer fitter,
            VictimSearch victims) {
        Map<Integer, String> later =
                fitter.findUpstreams(unit, CapacityLedger.CapacityKind.PROMISED);
        List<RunningUnit> chosen = List.of();
        if (later.size() < unit.taskIndexes().size()) {
            chosen = victims.search(unit, running);
            for (RunningUnit victim : chosen) {
                victim.resources().forEach(ledger::addPromised);
            }
            later = fitter.findUpstreams(unit, CapacityLedger.CapacityKind.PROMISED);
        }
        take(ledger, unit, later);
        return chosen;
    }

    private static void take(CapacityLedger ledger, WaitingUnit unit, Map<Integer, String> agents) {
        agents.values().forEach(agent -> ledger.reserve(agent, unit.spec().reservedResources()));
    }

    private static WaitingUnit without(WaitingUnit unit, Map<Integer, String> started) {
        List<Integer> rest = new ArrayList<>(unit.taskIndexes());
        rest.removeAll(started.keySet());
        return unit.withTaskIndexes(rest);
    }
}
