package org.fescueloom.placement;

import java.util.Set;

/** Defines the policies by which a planner decides which jobs start and on which workers. */
public enum PlacementPolicy {
    /** Takes jobs in order of arrival and places each job on the first workers that can hold it. */
    FIRST_FIT(WorkerOrder.LISTED, Set.of()),
    /**
     * Takes jobs in order of arrival and places each job on the workers with the least free
     * capacity.
     */
    BEST_FIT(WorkerOrder.FULLEST, Set.of()),
    /**
     * Takes jobs in order of arrival, reserves workers for the first job that must wait, and lets
     * other jobs use these workers until the reservation begins.
     */
    ARRIVAL_RESERVATION(WorkerOrder.FULLEST, Set.of(Feature.RESERVATION)),
    /**
     * Preserves guaranteed blocks, takes short jobs first and reserves workers for jobs that have
     * waited long.
     */
    BUDDY_RESERVATION(
            WorkerOrder.FULLEST,
            Set.of(Feature.GUARANTEES, Feature.RESERVATION, Feature.SHORTEST_FIRST)),
    /**
     * Does the same as {@link #BUDDY_RESERVATION}, and moves gangs that have checkpoints to free
     * adjacent accelerators.
     */
    BUDDY_COMPACTION(
            WorkerOrder.FULLEST,
            Set.of(
                    Feature.GUARANTEES,
                    Feature.RESERVATION,
                    Feature.SHORTEST_FIRST,
                    Feature.COMPACTION));

    /** Defines the features that a policy can have. */
    enum Feature {
        /** Preserves guaranteed blocks and preempts borrowers for them. */
        GUARANTEES,
        /** Reserves workers for waiting jobs. */
        RESERVATION,
        /** Takes jobs with a short expected run time first. */
        SHORTEST_FIRST,
        /**
         * Moves gangs to free adjacent accelerators, and stops long borrowers for much shorter
         * jobs.
         */
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
