package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans one scheduling round.
 *
 * <p>Waiting units are ranked by priority, then by guarantee, then by prospect, then by the
 * objective of their job. A unit of priority 0 may stop less urgent units. If it is within the
 * guarantee of its customer, it may also stop units of priority 0 of customers that exceed their
 * guarantee. The resources that a stopped unit releases go to the unit that requested the stop,
 * because the next round ranks the units in the same order.
 */
public final class TaskScheduler {
    private static final int PREEMPTING_PRIORITY = 0;

    private TaskScheduler() {}

    /**
     * Decides which tasks start and which units are stopped.
     *
     * @param waiting the units whose tasks may start, not null
     * @param running the units that may be stopped, not null
     * @param upstreams the upstreams that may take tasks, not null
     * @return the plan, never null
     */
    public static SchedulePlan plan(
            Collection<WaitingUnit> waiting,
            Collection<RunningUnit> running,
            Collection<UpstreamCapacity> upstreams) {
        CapacityLedger ledger = new CapacityLedger(upstreams);
        UnitPlacer placer = new UnitPlacer(ledger);
        VictimSearch victimSearch = new VictimSearch(placer, ledger);
        List<Assignment> starts = new ArrayList<>();
        Set<RunningUnit> stoppable = new HashSet<>(running);
        List<RunningUnit> stops = new ArrayList<>();
        for (WaitingUnit unit : sortByRank(waiting)) {
            Map<Integer, String> placed =
                    placer.findUpstreams(unit, CapacityLedger.CapacityKind.FREE);
            if (!placed.isEmpty()) {
                starts.add(new Assignment(unit, placed));
                reserve(ledger, unit, placed);
            }
            if (placed.size() < unit.taskIndexes().size()
                    && unit.priority() == PREEMPTING_PRIORITY) {
                WaitingUnit rest = withoutStarted(unit, placed);
                List<RunningUnit> chosen =
                        reservePromised(rest, stoppable, ledger, placer, victimSearch);
                stoppable.removeAll(chosen);
                stops.addAll(chosen);
            }
        }
        return new SchedulePlan(starts, stops);
    }

    private static List<WaitingUnit> sortByRank(Collection<WaitingUnit> waiting) {
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

    /** Reserves promised capacity for a unit and returns the units to stop if it is not enough. */
    private static List<RunningUnit> reservePromised(
            WaitingUnit unit,
            Set<RunningUnit> running,
            CapacityLedger ledger,
            UnitPlacer placer,
            VictimSearch victimSearch) {
        Map<Integer, String> reserved =
                placer.findUpstreams(unit, CapacityLedger.CapacityKind.PROMISED);
        List<RunningUnit> chosen = List.of();
        if (reserved.size() < unit.taskIndexes().size()) {
            chosen = victimSearch.search(unit, running);
            for (RunningUnit victim : chosen) {
                victim.resources().forEach(ledger::addPromised);
            }
            reserved = placer.findUpstreams(unit, CapacityLedger.CapacityKind.PROMISED);
        }
        reserve(ledger, unit, reserved);
        return chosen;
    }

    private static void reserve(
            CapacityLedger ledger, WaitingUnit unit, Map<Integer, String> agents) {
        agents.values().forEach(agent -> ledger.reserve(agent, unit.spec().reservedResources()));
    }

    private static WaitingUnit withoutStarted(WaitingUnit unit, Map<Integer, String> started) {
        List<Integer> rest = new ArrayList<>(unit.taskIndexes());
        rest.removeAll(started.keySet());
        return unit.withTaskIndexes(rest);
    }
}
