package org.fescueloom.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.fescueloom.work.Resources;
import org.fescueloom.work.StepSpec;

/** Finds upstreams for the tasks of a waiting unit. */
final class UnitPlacer {
    /**
     * A unit may be placed outside its preferred rack, where its tasks run slower, once they have
     * been ready for this many times the estimated run time.
     */
    static final double RACK_WAIT_FACTOR = 1.0;

    /**
     * The shortest wait before a unit may be placed outside its preferred rack, whatever its
     * estimated run time. Estimates of short tasks are unreliable, and a run outside the preferred
     * rack takes three times as long.
     */
    private static final double MIN_RACK_WAIT_MILLIS = 2_000;

    /** On an upstream of at most this slowness, a job with a slack factor of three ends in time. */
    private static final double TOLERABLE_SLOWNESS = 2.0;

    /**
     * The ratio between the slowness of neighbouring slowness classes; upstreams of one class count
     * as equally fast.
     */
    private static final double SLOWNESS_CLASS_FACTOR = 1.25;

    /**
     * The weight of the worst preference in the score of a rack. This weight makes the preference
     * decide before the number of cores that are left in the rack.
     */
    private static final double SLOWNESS_WEIGHT = 100_000;

    /**
     * The part of the upstreams whose speed the tasks of one unit measure in a round, as a divisor.
     * A measured upstream is no longer free as a whole. A wide step that measured all upstreams
     * left no room for tasks that need a whole one.
     */
    private static final int SPEED_SAMPLE_DIVISOR = 5;

    /** The number of upstreams that a unit may measure in a fleet of any size. */
    private static final int MIN_SPEED_SAMPLES = 12;

    /** A task is small if this many tasks of its size fit into an upstream. */
    private static final int SMALL_TASKS_PER_UPSTREAM = 4;

    private final CapacityLedger ledger;
    private final FleetCoverage coverage;

    /** The filter of the last unit; the searches for one unit follow each other. */
    private CandidateFilter lastFilter;

    private WaitingUnit lastUnit;

    /**
     * Creates a placer for the whole fleet.
     *
     * @param ledger the remaining capacity, not null
     */
    UnitPlacer(CapacityLedger ledger) {
        this(ledger, FleetCoverage.COMPLETE);
    }

    /**
     * Creates a placer.
     *
     * @param ledger the remaining capacity, not null
     * @param coverage how much of the fleet the ledger holds, not null
     */
    UnitPlacer(CapacityLedger ledger, FleetCoverage coverage) {
        this.ledger = ledger;
        this.coverage = coverage;
    }

    /** Returns a counter of the tasks of a unit that fit into the promised capacity. */
    FitCounter promisedFits(WaitingUnit unit) {
        return promisedFits(unit, filter(unit).candidates(null));
    }

    /** Returns a counter as {@link #promisedFits} for each rack, by the name of the rack. */
    Map<String, FitCounter> promisedFitsByRack(WaitingUnit unit) {
        // The order of the racks must not depend on the order in which upstreams were heard.
        Map<String, List<UpstreamCapacity>> candidatesByRack = new TreeMap<>();
        for (UpstreamCapacity upstream : filter(unit).candidates(null)) {
            candidatesByRack
                    .computeIfAbsent(upstream.rack(), rack -> new ArrayList<>())
                    .add(upstream);
        }
        Map<String, FitCounter> countersByRack = new LinkedHashMap<>();
        candidatesByRack.forEach(
                (rack, candidates) -> countersByRack.put(rack, promisedFits(unit, candidates)));
        return countersByRack;
    }

    private FitCounter promisedFits(WaitingUnit unit, List<UpstreamCapacity> candidates) {
        return new FitCounter(
                unit,
                waitsForRack(unit),
                candidates,
                agent -> ledger.capacity(agent, CapacityLedger.CapacityKind.PROMISED));
    }

    /** Tells whether a unit is a gang that may only be placed in one rack yet. */
    boolean mustFitOneRack(WaitingUnit unit) {
        return unit.spec().gang() && unit.spec().oneRack() && waitsForRack(unit);
    }

    /** Returns the rack of the upstream of an agent; empty if the agent is unknown. */
    String rackOf(String agent) {
        UpstreamCapacity upstream = ledger.upstream(agent);
        return upstream == null ? "" : upstream.rack();
    }

    /** Tells whether all tasks of the unit of a counter fit, by the rules of this placer. */
    boolean allFit(FitCounter counter) {
        return counter.allFit(ledger.racks());
    }

    /**
     * Finds an upstream for every task of a gang, or for as many single tasks as fit.
     *
     * @param unit the unit, not null
     * @param kind the capacity to use, not null
     * @return the agent of each task that can be placed, by the index of the task; empty if none
     *     can
     */
    Map<Integer, String> findUpstreams(WaitingUnit unit, CapacityLedger.CapacityKind kind) {
        Function<String, Resources> capacity = agent -> ledger.capacity(agent, kind);
        StepSpec spec = unit.spec();
        boolean waitsForRack = waitsForRack(unit);
        // A data rack without any upstream is ignored; the unit does not wait for that rack.
        if (!spec.dataRack().isEmpty() && ledger.racks().contains(spec.dataRack())) {
            Map<Integer, String> inDataRack = findInRack(unit, spec.dataRack(), capacity);
            if (!inDataRack.isEmpty() || waitsForRack) {
                return inDataRack;
            }
        }
        if (spec.gang() && spec.oneRack()) {
            Optional<Map<Integer, String>> inOneRack = findInBestRack(unit, capacity);
            if (inOneRack.isPresent() || waitsForRack) {
                return inOneRack.orElse(Map.of());
            }
        }
        return findInRack(unit, null, capacity);
    }

    /** Returns the upstreams that may take tasks of a unit, whether they are free or not. */
    List<UpstreamCapacity> candidates(WaitingUnit unit) {
        return filter(unit).candidates(null);
    }

    /**
     * Returns the groups of upstreams of which one may hold a gang as a whole, by the same rules as
     * {@link #findUpstreams}: one rack, or the fleet. Free capacity is not considered.
     */
    List<List<UpstreamCapacity>> candidateGroups(WaitingUnit gang) {
        StepSpec spec = gang.spec();
        CandidateFilter filter = filter(gang);
        List<List<UpstreamCapacity>> groups = new ArrayList<>();
        if (!spec.dataRack().isEmpty() && ledger.racks().contains(spec.dataRack())) {
            groups.add(filter.candidates(spec.dataRack()));
        } else if (spec.oneRack()) {
            ledger.racks().stream().sorted().map(filter::candidates).forEach(groups::add);
        }
        if (groups.isEmpty() || !waitsForRack(gang)) {
            groups.add(filter.candidates(null));
        }
        return groups;
    }

    /** Tells whether a unit may not be placed outside its preferred rack yet. */
    private static boolean waitsForRack(WaitingUnit unit) {
        double rackWaitMillis =
                Math.max(MIN_RACK_WAIT_MILLIS, RACK_WAIT_FACTOR * unit.spec().estimateMillis());
        return unit.millisSinceReady() < rackWaitMillis;
    }

    private CandidateFilter filter(WaitingUnit unit) {
        if (lastUnit != unit) {
            lastFilter =
                    new CandidateFilter(unit, ledger.upstreams(unit.service(), null), coverage);
            lastUnit = unit;
        }
        return lastFilter;
    }

    /**
     * Finds upstreams for a gang within one rack, or returns empty if no rack can hold the gang.
     * Prefers the rack whose worst chosen upstream is preferred most, and among equal racks the one
     * with the fewest cores left.
     */
    private Optional<Map<Integer, String>> findInBestRack(
            WaitingUnit unit, Function<String, Resources> capacity) {
        Map<Integer, String> bestAgentByTaskIndex = null;
        double bestScore = Double.MAX_VALUE;
        for (String rack : ledger.racks()) {
            Map<Integer, String> agentByTaskIndex = findInRack(unit, rack, capacity);
            if (!agentByTaskIndex.isEmpty()) {
                double score =
                        worstPreference(unit, agentByTaskIndex) * SLOWNESS_WEIGHT
                                + coresInRack(unit.service(), rack, capacity);
                if (score < bestScore) {
                    bestScore = score;
                    bestAgentByTaskIndex = agentByTaskIndex;
                }
            }
        }
        return Optional.ofNullable(bestAgentByTaskIndex);
    }

    /**
     * Returns the highest preference value of the chosen upstreams, because the slowest task delays
     * its gang; 0 if all values are negative.
     */
    private double worstPreference(WaitingUnit unit, Map<Integer, String> agentByTaskIndex) {
        double worst = 0;
        for (String agent : agentByTaskIndex.values()) {
            worst = Math.max(worst, preference(unit, ledger.upstream(agent)));
        }
        return worst;
    }

    private double coresInRack(String service, String rack, Function<String, Resources> capacity) {
        double cores = 0;
        for (UpstreamCapacity upstream : ledger.upstreams(service, rack)) {
            cores += capacity.apply(upstream.agent()).cores();
        }
        return cores;
    }

    /**
     * Finds upstreams for the tasks of a unit in a rack, or in any rack if {@code rack} is null.
     * The result is empty if the unit is a gang and some task finds no upstream.
     */
    private Map<Integer, String> findInRack(
            WaitingUnit unit, String rack, Function<String, Resources> capacity) {
        Resources need = unit.spec().reservedResources();
        Map<String, Resources> remainingByAgent = new HashMap<>();
        Map<String, Double> preferenceByAgent = new HashMap<>();
        Map<String, Integer> tasksPerAgent = new HashMap<>(unit.runningPerAgent());
        List<UpstreamCapacity> candidates = filter(unit).candidates(rack);
        for (UpstreamCapacity upstream : candidates) {
            remainingByAgent.put(upstream.agent(), capacity.apply(upstream.agent()));
            preferenceByAgent.put(upstream.agent(), preference(unit, upstream));
        }
        Map<Integer, String> agentByTaskIndex = new LinkedHashMap<>();
        int maxSpeedSamples = Math.max(MIN_SPEED_SAMPLES, candidates.size() / SPEED_SAMPLE_DIVISOR);
        int speedSamples = 0;
        for (int index : unit.taskIndexes()) {
            boolean mayMeasure = speedSamples < maxSpeedSamples;
            Optional<UpstreamCapacity> best =
                    candidates.stream()
                            .filter(u -> need.fitsIn(remainingByAgent.get(u.agent())))
                            .filter(u -> isBelowTaskLimit(unit.spec(), tasksPerAgent, u.agent()))
                            .min(
                                    byPreference(
                                            unit,
                                            mayMeasure,
                                            preferenceByAgent,
                                            remainingByAgent,
                                            tasksPerAgent));
            if (best.isEmpty()) {
                // All tasks of the unit need the same resources, so the other tasks do not fit
                // either.
                break;
            }
            String agent = best.get().agent();
            speedSamples += samplesSpeed(unit, best.get(), tasksPerAgent) ? 1 : 0;
            agentByTaskIndex.put(index, agent);
            remainingByAgent.computeIfPresent(agent, (k, available) -> available.minus(need));
            tasksPerAgent.merge(agent, 1, Integer::sum);
        }
        boolean partial = agentByTaskIndex.size() < unit.taskIndexes().size();
        return unit.spec().gang() && partial ? Map.of() : agentByTaskIndex;
    }

    /**
     * Tells whether an upstream may take one more task of a step; a {@code maxPerUpstream} of 0
     * means no limit.
     */
    private static boolean isBelowTaskLimit(
            StepSpec spec, Map<String, Integer> tasksPerAgent, String agent) {
        return spec.maxPerUpstream() == 0
                || tasksPerAgent.getOrDefault(agent, 0) < spec.maxPerUpstream();
    }

    /**
     * Orders upstreams: first those whose speed the task measures, then by preference value, and
     * upstreams of equal value by remaining capacity, the least first.
     */
    private static Comparator<UpstreamCapacity> byPreference(
            WaitingUnit unit,
            boolean mayMeasure,
            Map<String, Double> preferenceByAgent,
            Map<String, Resources> remainingByAgent,
            Map<String, Integer> tasksPerAgent) {
        return Comparator.comparing(
                        (UpstreamCapacity u) ->
                                !(mayMeasure && samplesSpeed(unit, u, tasksPerAgent)))
                .thenComparingDouble(u -> preferenceByAgent.get(u.agent()))
                .thenComparingLong(u -> remainingByAgent.get(u.agent()).accelerators())
                .thenComparingLong(u -> remainingByAgent.get(u.agent()).cpuMillis())
                .thenComparing(UpstreamCapacity::agent);
    }

    /**
     * Tells whether a task is placed on an upstream of unknown speed in order to measure the speed.
     * Only single tasks with slack are used for this, so that the speed is known before a unit with
     * little slack depends on it.
     */
    private static boolean samplesSpeed(
            WaitingUnit unit, UpstreamCapacity upstream, Map<String, Integer> tasksPerAgent) {
        boolean first = tasksPerAgent.getOrDefault(upstream.agent(), 0) == 0;
        return upstream.needsSpeedSample()
                && first
                && !unit.spec().gang()
                && !unit.hasLittleSlack();
    }

    /**
     * Returns the preference value of an upstream; upstreams with the lowest value are chosen
     * first. Units with little slack, gangs and large tasks prefer fast upstreams; small tasks with
     * slack leave the fast upstreams free and prefer the slowest tolerable upstreams.
     */
    static double preference(WaitingUnit unit, UpstreamCapacity upstream) {
        // A slow member delays its whole gang. Gangs and large tasks lose the most if they are cut
        // off, and find the least room.
        if (unit.hasLittleSlack() || unit.spec().gang() || isLarge(unit, upstream)) {
            return slownessClass(upstream.slownessUpperBound());
        }
        boolean tolerable = upstream.slowness() <= TOLERABLE_SLOWNESS;
        double slowness = slownessClass(upstream.slowness());
        return tolerable ? -slowness : slowness;
    }

    /** Tells whether a task of a unit takes a large part of an upstream. */
    private static boolean isLarge(WaitingUnit unit, UpstreamCapacity upstream) {
        Resources need = unit.spec().reservedResources();
        return !need.times(SMALL_TASKS_PER_UPSTREAM).fitsIn(upstream.attainable());
    }

    /**
     * Returns the class of a slowness, 0 for an average upstream. Each class is a quarter slower
     * than the class before, so that small differences do not spread the tasks over many upstreams.
     */
    private static double slownessClass(double slowness) {
        return Math.rint(Math.log(slowness) / Math.log(SLOWNESS_CLASS_FACTOR));
    }
}
