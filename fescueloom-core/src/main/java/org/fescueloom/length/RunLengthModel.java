package org.fescueloom.length;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.fescueloom.failure.SchedulerException;

/**
 * Learns how long the runs of a kind take on an average upstream, and predicts the length of runs.
 *
 * <p>Lengths are at average speed: the caller divides by the slowness of the upstream. All times in
 * milliseconds are of one monotonic clock, unless they are named otherwise. Mutable and not
 * thread-safe.
 */
public final class RunLengthModel {
    /** The effective number of ends of a queue below which the forecast is the estimate. */
    public static final double MIN_EVIDENCE = 8;

    /** The maximum number of kinds. Beyond it, those with the least evidence are merged. */
    public static final int MAX_KINDS = 1_000;

    /**
     * The number of kinds that merging leaves. Merging several kinds at a time makes the search for
     * them cheap: one at a time took 60 to 200 µs for each end of a new kind.
     */
    private static final int KINDS_AFTER_MERGING = 950;

    /** The length that is assumed if there is neither evidence nor an estimate. */
    private static final double LOG_DEFAULT_MILLIS = Math.log(10_000);

    private final List<Map<RunKind, KindNode>> nodes = new ArrayList<>();

    /** The nodes of the kind at hand, from general to specific; valid until the next call. */
    private final KindNode[] path = new KindNode[KindLevel.COUNT];

    private int kinds;
    private long merges;
    private Calibration calibration = Calibration.NONE;

    /** Creates a model without evidence. */
    public RunLengthModel() {
        for (int i = 0; i < KindLevel.COUNT; i++) {
            nodes.add(new HashMap<>());
        }
    }

    /**
     * Creates a model from its stored form.
     *
     * @param stored the stored form, not null
     * @param wallClockMillis the present time of the wall clock; evidence decays by the time since
     *     the record was stored, and does not if the clock was set back
     * @param monotonicMillis the present time
     * @return a model with the stored kinds, and without the counts of calibration and merges
     * @throws SchedulerException with type {@code MALFORMED_INPUT} if the record is damaged or of a
     *     newer format version
     */
    public static RunLengthModel restore(
            StoredRunLengths stored, long wallClockMillis, long monotonicMillis) {
        Objects.requireNonNull(stored, "stored");
        List<StoredKinds.Entry> entries = StoredKinds.read(stored);
        RunLengthModel model = new RunLengthModel();
        long age = Math.max(0, wallClockMillis - stored.storedAtMillis());
        double factor = KindNode.decayOver(age);
        for (StoredKinds.Entry entry : entries) {
            KindNode node = model.create(entry.kind(), entry.level(), monotonicMillis);
            node.restore(entry.state(), factor);
        }
        model.mergeBeyondLimit(null, monotonicMillis);
        model.merges = 0;
        return model;
    }

    /**
     * Converts what was learned to its stored form.
     *
     * @param wallClockMillis the present time of the wall clock
     * @param monotonicMillis the present time
     * @return the stored form, at most {@link StoredRunLengths#MAX_BYTES} as JSON; kinds with the
     *     least evidence are omitted if it would be larger, and no kind is stored without those
     *     above it; never null
     */
    public StoredRunLengths store(long wallClockMillis, long monotonicMillis) {
        List<KindNode> ordered = new ArrayList<>();
        Map<KindNode, Double> evidence = new HashMap<>();
        for (int i = nodes.size() - 1; i >= 0; i--) {
            for (KindNode node : nodes.get(i).values()) {
                double most = evidence.merge(node, node.evidence(monotonicMillis), Math::max);
                if (node.parent() != null) {
                    evidence.merge(node.parent(), most, Math::max);
                }
            }
        }
        nodes.forEach(level -> ordered.addAll(level.values()));
        ordered.sort(Comparator.comparing(evidence::get, Comparator.reverseOrder()));
        return StoredKinds.write(ordered, wallClockMillis, monotonicMillis);
    }

    /**
     * Learns from a run that ended with success.
     *
     * @param kind the kind of the run, not null
     * @param estimateMillis the estimate of the caller, not negative; 0 if there is none
     * @param lengthMillis the length of the run at average speed, not negative
     * @param monotonicMillis the present time
     * @throws IllegalArgumentException if a time is negative or not a number
     */
    public void recordEnd(
            RunKind kind, long estimateMillis, double lengthMillis, long monotonicMillis) {
        Objects.requireNonNull(kind, "kind");
        Observation observation = Observation.of(estimateMillis, lengthMillis);
        RunLengthForecast forecast = forecast(kind, estimateMillis, monotonicMillis);
        if (forecast.evidence() >= MIN_EVIDENCE) {
            calibration = calibration.with(forecast, lengthMillis);
        }
        KindNode leaf = create(kind, KindLevel.CUSTOMER, monotonicMillis);
        int depth = fillPath(leaf);
        double deviation = observation.logLength() - centre(observation, depth, monotonicMillis);
        for (int i = 0; i < depth; i++) {
            path[i].recordEnd(observation, deviation, monotonicMillis);
        }
        mergeBeyondLimit(leaf, monotonicMillis);
    }

    /**
     * Learns from a run that was stopped: it would have taken at least this long.
     *
     * @param kind the kind of the run, not null
     * @param estimateMillis the estimate of the caller, not negative; 0 if there is none
     * @param lengthMillis the age of the run at average speed, not negative
     * @param monotonicMillis the present time
     * @throws IllegalArgumentException if a time is negative or not a number
     */
    public void recordUnfinished(
            RunKind kind, long estimateMillis, double lengthMillis, long monotonicMillis) {
        Objects.requireNonNull(kind, "kind");
        Observation observation = Observation.of(estimateMillis, lengthMillis);
        KindNode leaf = create(kind, KindLevel.CUSTOMER, monotonicMillis);
        int depth = fillPath(leaf);
        double ratio = observation.logLength() - centre(observation, depth, monotonicMillis);
        double position = RatioBins.positionOf(ratio);
        double[] shares = new double[RatioBins.COUNT];
        RatioBins.copyPrior(shares);
        for (int i = 0; i < depth; i++) {
            path[i].refine(shares, monotonicMillis);
            path[i].recordUnfinished(position, shares, monotonicMillis);
        }
        mergeBeyondLimit(leaf, monotonicMillis);
    }

    /**
     * Predicts the length of a run.
     *
     * @param kind the kind of the run, not null
     * @param estimateMillis the estimate of the caller, not negative; 0 if there is none
     * @param monotonicMillis the present time
     * @return the forecast, never null; the estimate with a log-normal factor of variance 0.5 if
     *     the queue has fewer than {@link #MIN_EVIDENCE} effective ends
     * @throws IllegalArgumentException if the estimate is negative
     */
    public RunLengthForecast forecast(RunKind kind, long estimateMillis, long monotonicMillis) {
        Objects.requireNonNull(kind, "kind");
        Observation observation = Observation.of(estimateMillis, 0);
        int depth = fillPath(find(kind));
        double evidence = depth == 0 ? 0 : path[0].evidence(monotonicMillis);
        double[] shares = new double[RatioBins.COUNT];
        RatioBins.copyPrior(shares);
        if (evidence < MIN_EVIDENCE) {
            return new RunLengthForecast(priorCentre(observation), shares, evidence);
        }
        for (int i = 0; i < depth; i++) {
            path[i].refine(shares, monotonicMillis);
        }
        return new RunLengthForecast(centre(observation, depth, monotonicMillis), shares, evidence);
    }

    /**
     * Returns how often runs ended by the quantiles that were predicted just before their end was
     * recorded.
     *
     * @return the counts since this model was created, never null
     */
    public Calibration calibration() {
        return calibration;
    }

    /**
     * Returns the number of kinds: of nodes of the hierarchy without more specific ones.
     *
     * @return the number, at most {@link #MAX_KINDS}
     */
    public int kinds() {
        return kinds;
    }

    /**
     * Returns how often a kind was merged into its parent.
     *
     * @return the number since this model was created
     */
    public long merges() {
        return merges;
    }

    private static double priorCentre(Observation observation) {
        return observation.hasEstimate() ? observation.logEstimate() : LOG_DEFAULT_MILLIS;
    }

    private double centre(Observation observation, int depth, long monotonicMillis) {
        double centre = priorCentre(observation);
        double slope = 1;
        for (int i = 0; i < depth; i++) {
            slope = path[i].slope(slope);
            centre = path[i].centre(centre, observation, slope, monotonicMillis);
        }
        return centre;
    }

    /** Returns the most specific node for a kind; null if its queue is unknown. */
    private KindNode find(RunKind kind) {
        KindNode leaf = nodes.get(KindLevel.CUSTOMER.ordinal()).get(kind);
        if (leaf != null) {
            return leaf;
        }
        KindNode found = null;
        for (KindLevel level : KindLevel.values()) {
            KindNode node = nodes.get(level.ordinal()).get(level.keyOf(kind));
            if (node == null) {
                return found;
            }
            found = node;
        }
        return found;
    }

    /** Writes a node and those above it to {@link #path}, and returns their number. */
    private int fillPath(KindNode node) {
        if (node == null) {
            return 0;
        }
        for (KindNode n = node; n != null; n = n.parent()) {
            path[n.level().ordinal()] = n;
        }
        return node.level().ordinal() + 1;
    }

    /** Returns the node of a kind at a level; creates it and those above it if they are missing. */
    private KindNode create(RunKind kind, KindLevel lowest, long monotonicMillis) {
        KindNode node = null;
        for (KindLevel level : KindLevel.values()) {
            if (level.compareTo(lowest) > 0) {
                break;
            }
            RunKind key = level.keyOf(kind);
            KindNode known = nodes.get(level.ordinal()).get(key);
            node = known != null ? known : add(key, level, node, monotonicMillis);
        }
        return node;
    }

    private KindNode add(RunKind key, KindLevel level, KindNode parent, long monotonicMillis) {
        if (parent == null || parent.hasChildren()) {
            kinds++;
        }
        KindNode node = new KindNode(key, level, parent, monotonicMillis);
        nodes.get(level.ordinal()).put(key, node);
        return node;
    }

    /**
     * Removes the kinds with the least evidence if there are too many. Their ends are already part
     * of the evidence of their parents.
     */
    private void mergeBeyondLimit(KindNode kept, long monotonicMillis) {
        if (kinds <= MAX_KINDS) {
            return;
        }
        while (kinds > KINDS_AFTER_MERGING) {
            List<Candidate> candidates = new ArrayList<>();
            for (Map<RunKind, KindNode> level : nodes) {
                for (KindNode node : level.values()) {
                    if (!node.hasChildren() && node != kept) {
                        candidates.add(new Candidate(node, node.evidence(monotonicMillis)));
                    }
                }
            }
            candidates.sort(Comparator.comparingDouble(Candidate::evidence));
            int count = kinds - KINDS_AFTER_MERGING;
            candidates.subList(0, count).forEach(candidate -> remove(candidate.node()));
            merges += count;
        }
    }

    private void remove(KindNode node) {
        nodes.get(node.level().ordinal()).remove(node.key());
        node.detach();
        if (node.parent() == null || node.parent().hasChildren()) {
            kinds--;
        }
    }

    /** Describes a kind that may be merged into its parent. */
    private record Candidate(KindNode node, double evidence) {}
}
