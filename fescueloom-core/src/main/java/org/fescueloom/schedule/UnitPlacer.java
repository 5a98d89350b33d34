package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;

/** Finds upstreams for the tasks of a unit. */
final class UnitPlacer {
    /** A unit may leave its rack, and run slower, once it waited this many times its estimate. */
    static final double RACK_WAIT_FACTOR = 1.0;

    /**
     * Estimates of short tasks say little, and a run outside its rack takes three times as long.
     */
    private static final double MIN_PATIENCE_MILLIS = 2_000;

    /** A unit may go to a suspect upstream once it waited this many times its estimate. */
    private static final double SUSPECT_PATIENCE = 2.0;

    /** Less urgent runs are stopped within a second; a guarantee holds after three. */
    private static final long SPEED_PATIENCE_MILLIS = 1_500;

    /** An upstream whose speed is not known is at worst a little faster than this. */
    private static final double UNKNOWN_AT_WORST = 1.5;

    /** Up to this slowness a job that allows three times its work is in time. */
    private static final double TOLERABLE_SLOWNESS = 2.0;

    /** Upstreams that differ by less than this factor count as equally fast. */
    private static final double CLASS_FACTOR = 1.25;

    /** Makes the speed of a rack count before the cores that are left in it. */
    private static final double SLOWNESS_WEIGHT = 100_000;

    private final CapacityLedger ledger;

    /**
     * Creates a fitter.
     *
     * @param ledger the room that is left, not null
     */
    UnitPlacer(CapacityLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Finds a place for every task of a gang, or for as many single tasks as fit.
     *
     * @param unit the tasks, not null
     * @param sight which count of room to look at, not null
     * @return the agent of each task that finds a place, by index; empty if none does
     */
    Map<Integer, String> findUpstreams(WaitingUnit unit, CapacityLedger.CapacityKind sight) {
        return findUpstreams(unit, agent -> ledger.capacity(agent, sight));
    }

    /** Does the same with a given view of the room. */
    Map<Integer, String> findUpstreams(WaitingUnit unit, Function<String, Resources> room) {
        StepSpec spec = unit.spec();
        double patience = Math.max(MIN_PATIENCE_MILLIS, RACK_WAIT_FACTOR * spec.estimateMillis());
        boolean patient = unit.millisSinceReady() < patience;
        if (!spec.dataRack().isEmpty() && ledger.racks().contains(spec.dataRack())) {
            Map<Integer, String> near = within(unit, spec.dataRack(), room);
            if (!near.isEmpty() || patient) {
                return near;
            }
        }
        if (spec.gang() && spec.oneRack()) {
            Optional<Map<Integer, String>> rack = bestRack(unit, room);
            if (rack.isPresent() || patient) {
                return rack.orElse(Map.of());
            }
        }
        return within(unit, null, room);
    }

    private Optional<Map<Integer, String>> bestRack(
            WaitingUnit unit, Function<String, Resources> room) {
        Map<Integer, String> best = null;
        double bestScore = Double.MAX_VALUE;
        for (String rack : ledger.racks()) {
            Map<Integer, String> found = within(unit, rack, room);
            if (!found.isEmpty()) {
                double score =
                        slowest(unit, found) * SLOWNESS_WEIGHT + leftIn(unit.service(), rack, room);
                if (score < bestScore) {
                    bestScore = score;
                    best = found;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** The slowest member sets the pace of a gang. */
    private double slowest(WaitingUnit unit, Map<Integer, String> found) {
        double slowest = 0;
        for (String agent : found.values()) {
            slowest = Math.max(slowest, preference(unit, ledger.upstream(agent)));
        }
        return slowest;
    }

    private double leftIn(String service, String rack, Function<String, Resources> room) {
        double left = 0;
        for (UpstreamCapacity upstream : ledger.upstreams(service, rack)) {
            left += room.apply(upstream.agent()).cores();
        }
        return left;
    }

    private Map<Integer, String> within(
            WaitingUnit unit, String rack, Function<String, Resources> room) {
        Resources need = unit.spec().reservedResources();
        Map<String, Resources> left = new HashMap<>();
        Map<String, Double> preferences = new HashMap<>();
        Map<String, Integer> used = new HashMap<>(unit.runningPerAgent());
        List<UpstreamCapacity> candidates = candidates(unit, rack);
        for (UpstreamCapacity upstream : candidates) {
            left.put(upstream.agent(), room.apply(upstream.agent()));
            preferences.put(upstream.agent(), preference(unit, upstream));
        }
        Map<Integer, String> found = new LinkedHashMap<>();
        for (int index : unit.taskIndexes()) {
            Optional<UpstreamCapacity> best =
                    candidates.stream()
                            .filter(u -> need.fitsIn(left.get(u.agent())))
                            .filter(u -> underLimit(unit.spec(), used, u.agent()))
                            .min(byPreference(unit, preferences, left, used));
            if (best.isEmpty()) {
                break;
            }
            String agent = best.get().agent();
            found.put(index, agent);
            left.computeIfPresent(agent, (k, have) -> have.minus(need));
            used.merge(agent, 1, Integer::sum);
        }
        boolean partial = found.size() < unit.taskIndexes().size();
        return unit.spec().gang() && partial ? Map.of() : found;
    }

    private static boolean underLimit(StepSpec spec, Map<String, Integer> used, String agent) {
        return spec.maxPerUpstream() == 0 || used.getOrDefault(agent, 0) < spec.maxPerUpstream();
    }

    /** Prefers upstreams by speed, and among equals the one with the least room left. */
    private static Comparator<UpstreamCapacity> byPreference(
            WaitingUnit unit,
            Map<String, Double> preferences,
            Map<String, Resources> left,
            Map<String, Integer> used) {
        return Comparator.comparing((UpstreamCapacity u) -> !proves(unit, u, used))
                .thenComparingDouble(u -> preferences.get(u.agent()))
                .thenComparingLong(u -> left.get(u.agent()).accelerators())
                .thenComparingLong(u -> left.get(u.agent()).cpuMillis())
                .thenComparing(UpstreamCapacity::agent);
    }

    /** Single tasks with time to spare show how fast an upstream is before it matters. */
    private static boolean proves(
            WaitingUnit unit, UpstreamCapacity upstream, Map<String, Integer> used) {
        boolean first = used.getOrDefault(upstream.agent(), 0) == 0;
        return upstream.needsSpeedSample()
                && first
                && !unit.spec().gang()
                && !unit.hasLittleSlack();
    }

    /** Ranks fast upstreams first for pressing units; others leave the fast ones to those. */
    private static double preference(WaitingUnit unit, UpstreamCapacity upstream) {
        if (unit.hasLittleSlack()) {
            return slownessClass(upstream.slownessUpperBound());
        }
        boolean tolerable = upstream.slowness() <= TOLERABLE_SLOWNESS;
        double slowness = slownessClass(upstream.slowness());
        return tolerable ? -slowness : slowness;
    }

    /** Rounds to steps of a quarter, so that small differences do not scatter the tasks. */
    private static double slownessClass(double slowness) {
        return Math.rint(Math.log(slowness) / Math.log(CLASS_FACTOR));
    }

    private List<UpstreamCapacity> candidates(WaitingUnit unit, String rack) {
        List<UpstreamCapacity> fitting = new ArrayList<>();
        String label = unit.spec().requiredLabel();
        boolean desperate = unit.millisSinceDue() > SUSPECT_PATIENCE * unit.spec().estimateMillis();
        for (UpstreamCapacity upstream : ledger.upstreams(unit.service(), rack)) {
            boolean labelled = label.isEmpty() || upstream.labels().contains(label);
            boolean usable = desperate || trusted(unit, upstream) && fastEnough(unit, upstream);
            if (labelled && usable) {
                fitting.add(upstream);
            }
        }
        return fitting;
    }

    /** A pressing unit waits a little for upstreams that can serve it in time. */
    private static boolean fastEnough(WaitingUnit unit, UpstreamCapacity upstream) {
        return !unit.hasLittleSlack()
                || unit.millisSinceReady() >= SPEED_PATIENCE_MILLIS
                || upstream.slownessUpperBound() <= Math.max(unit.slackFactor(), UNKNOWN_AT_WORST);
    }

    private static boolean trusted(WaitingUnit unit, UpstreamCapacity upstream) {
        return !upstream.suspect() && !unit.failedAgents().contains(upstream.agent());
    }
}
