package org.fescueloom.placement;

/** Names the ways to choose what runs where. */
public enum PlacementPolicy {
    /** Takes jobs as they came and the first workers that hold them. */
    FIRST_FIT(WorkerOrder.LISTED, false, false, false),
    /** Takes jobs as they came and the workers with the least left over. */
    BEST_FIT(WorkerOrder.FULLEST, false, false, false),
    /** Keeps guaranteed blocks, reserves for large jobs and fills the gaps before them. */
    BUDDY_RESERVATION(WorkerOrder.FULLEST, true, true, false),
    /** Does the same, and moves gangs with checkpoints to close gaps. */
    BUDDY_COMPACTION(WorkerOrder.FULLEST, true, true, true);

    private final WorkerOrder order;
    private final boolean guarantees;
    private final boolean reserves;
    private final boolean compacts;

    PlacementPolicy(WorkerOrder order, boolean guarantees, boolean reserves, boolean compacts) {
        this.order = order;
        this.guarantees = guarantees;
        this.reserves = reserves;
        this.compacts = compacts;
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

    boolean keepsGuarantees() {
        return guarantees;
    }

    boolean reserves() {
        return reserves;
    }

    boolean compacts() {
        return compacts;
    }
}
