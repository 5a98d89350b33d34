package org.fescueloom.placement;

import java.util.Set;

/** Names the ways to choose what runs where. */
public enum PlacementPolicy {
    /** Takes jobs as they came and the first workers that hold them. */
    FIRST_FIT(WorkerOrder.LISTED, Set.of()),
    /** Takes jobs as they came and the workers with the least left over. */
    BEST_FIT(WorkerOrder.FULLEST, Set.of()),
    /** Takes jobs strictly as they came, reserves for the first and fills the gap before it. */
    ARRIVAL_RESERVATION(WorkerOrder.FULLEST, Set.of(Feature.RESERVATION)),
    /** Keeps guaranteed blocks, takes short jobs first and reserves for those that wait long. */
    BUDDY_RESERVATION(
            WorkerOrder.FULLEST,
            Set.of(Feature.GUARANTEES, Feature.RESERVATION, Feature.SHORTEST_FIRST)),
    /** Does the same, and moves gangs with checkpoints to close gaps. */
    BUDDY_COMPACTION(
            WorkerOrder.FULLEST,
            Set.of(
                    Feature.GUARANTEES,
                    Feature.RESERVATION,
                    Feature.SHORTEST_FIRST,
                    Feature.COMPACTION));

    /** Names what a policy does beyond placing. */
    enum Feature {
        /** Keeps guaranteed blocks and preempts borrowers for them. */
        GUARANTEES,
        /** Keeps workers for jobs that wait. */
        RESERVATION,
        /** Takes short and small jobs first. */
        SHORTEST_FIRST,
        /** Moves gangs to close gaps. */
        COMPACTION
    }

    private final WorkerOrder order;
    private final Set<Feature> features;

    PlacementPolicy(WorkerOrder order, Set<Feature> features) {
        this.order = order;
        this.features = features;
    }

    /**
     * Creates a planner that follows this policy.
     *
     * @return the planner, never null
     */
    public Planner planner() {
        return input -> new PlanningRound(this, input).run();
    }

    WorkerOrder order() {
        return order;
    }

    boolean has(Feature feature) {
        return features.contains(feature);
    }
}
