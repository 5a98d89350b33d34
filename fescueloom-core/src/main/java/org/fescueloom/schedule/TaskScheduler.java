package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Plans one scheduling round.
 *
 * <p>Waiting units are ranked by priority, the most urgent first. Within a priority, guaranteed
 * units come first, then units in the order of {@link Prospect}, then those with the earliest
 * objective. Job, occurrence and step make the order unique.
 *
 * <p>A waiting unit of priority 0 may stop running units of a less urgent priority. If the urgent
 * jobs of its customer need no more than the customer's guarantee, the unit may also stop units of
 * priority 0 of customers whose urgent jobs need more than their guarantee. The capacity that a
 * stopped unit releases is reserved for the waiting unit during the round. The next round ranks the
 * units by the same rules, so that the waiting unit finds this capacity before the units of lower
 * rank. The first gang of a lower priority that does not fit holds a {@link GangReservation}.
 */
public final class TaskScheduler {
    /** The most urgent priority, the only one whose waiting units may stop running units. */
    public static final int PREEMPTING_PRIORITY = 0;

    private TaskScheduler() {}

    /**
     * Decides which tasks start and which units are stopped, with the whole fleet and without
     * earlier reservations.
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
        return plan(waiting, running, upstreams, RoundContext.INITIAL);
    }

    /**
     * Decides which tasks start and which units are stopped.
     *
     * @param waiting the units whose tasks may start, not null
     * @param running the units that may be stopped, not null
     * @param upstreams the upstreams that may take tasks, not null
     * @param context what else the round needs to know, not null
     * @return the plan, never null
     */
    public static SchedulePlan plan(
            Collection<WaitingUnit> waiting,
            Collection<RunningUnit> running,
            Collection<UpstreamCapacity> upstreams,
            RoundContext context) {
        CapacityLedger ledger = new CapacityLedger(upstreams);
        UnitPlacer placer = new UnitPlacer(ledger, context.coverage());
        VictimSearch victimSearch = new VictimSearch(placer, running);
        GangReservation gangReservation =
                new GangReservation(ledger, placer, context.reservations());
        List<Assignment> starts = new ArrayList<>();
        List<RunningUnit> stops = new ArrayList<>();
        for (WaitingUnit unit : sortByRank(waiting)) {
            Map<Integer, String> agentByTaskIndex =
                    placer.findUpstreams(unit, CapacityLedger.CapacityKind.FREE);
            if (!agentByTaskIndex.isEmpty()) {
                starts.add(new Assignment(unit, agentByTaskIndex));
                reserve(ledger, unit, agentByTaskIndex);
            }
            if (agentByTaskIndex.size() == unit.taskIndexes().size()) {
                continue;
            }
            if (unit.priority() == PREEMPTING_PRIORITY) {
                WaitingUnit unplaced = withoutPlaced(unit, agentByTaskIndex);
                stops.addAll(reserveWithStops(unplaced, ledger, placer, victimSearch));
            } else if (unit.spec().gang()) {
                gangReservation.reserve(unit);
            }
        }
        return new SchedulePlan(starts, stops, gangReservation.agentsByUnit());
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

    /**
     * Chooses the units to stop if the promised capacity is not enough for a waiting unit, and
     * returns them. Reserves capacity for the waiting unit, also free capacity, so that no unit of
     * lower rank takes it.
     */
    private static List<RunningUnit> reserveWithStops(
            WaitingUnit unit, CapacityLedger ledger, UnitPlacer placer, VictimSearch victimSearch) {
        Map<Integer, String> agentByTaskIndex =
                placer.findUpstreams(unit, CapacityLedger.CapacityKind.PROMISED);
        List<RunningUnit> victims = List.of();
        if (agentByTaskIndex.size() < unit.taskIndexes().size()) {
            victims = victimSearch.choose(unit);
            for (RunningUnit victim : victims) {
                victim.resources().forEach(ledger::addPromised);
            }
            agentByTaskIndex = placer.findUpstreams(unit, CapacityLedger.CapacityKind.PROMISED);
        }
        reserve(ledger, unit, agentByTaskIndex);
        return victims;
    }

    private static void reserve(
            CapacityLedger ledger, WaitingUnit unit, Map<Integer, String> agentByTaskIndex) {
        agentByTaskIndex
                .values()
                .forEach(agent -> ledger.reserve(agent, unit.spec().reservedResources()));
    }

    /** Returns a unit without the tasks that have been placed. */
    private static WaitingUnit withoutPlaced(
            WaitingUnit unit, Map<Integer, String> agentByTaskIndex) {
        List<Integer> remaining = new ArrayList<>(unit.taskIndexes());
        remaining.removeAll(agentByTaskIndex.keySet());
        return unit.withTaskIndexes(remaining);
    }
}
