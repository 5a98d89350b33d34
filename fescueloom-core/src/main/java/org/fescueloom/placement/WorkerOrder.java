package org.fescueloom.placement;

/** Defines the order in which a gang prefers workers and topology domains. */
enum WorkerOrder {
    /**
     * Takes workers in the order of the topology, and the first topology domain that can hold the
     * gang.
     */
    LISTED {
        @Override
        long cost(Topology topology, Capacity capacity, int workerIndex, boolean usesAccelerators) {
            return 0L;
        }
    },
    /**
     * Prefers workers with the fewest free accelerators. A gang without accelerators prefers, among
     * these workers, those with the fewest free cores.
     */
    FULLEST {
        @Override
        long cost(Topology topology, Capacity capacity, int workerIndex, boolean usesAccelerators) {
            int free = Long.bitCount(capacity.accelerators(workerIndex));
            int cpus = Math.max(0, Math.min(capacity.cpus(workerIndex), CPU_MAX));
            return usesAccelerators ? free : free * CPU_RANGE + cpus;
        }
    };

    /** The weight of a free accelerator, which exceeds the cost of all free cores together. */
    private static final long CPU_RANGE = 65_536L;

    /** The maximum number of free cores that the cost distinguishes. */
    private static final int CPU_MAX = 65_535;

    /**
     * Returns the cost of using a worker.
     *
     * @param topology the topology of the workers, not null
     * @param capacity the capacity that may be used, not null
     * @param workerIndex the index of the worker
     * @param usesAccelerators whether the gang uses accelerators
     * @return the cost; workers with the lowest cost are used first, workers of equal cost in the
     *     order of the topology
     */
    abstract long cost(
            Topology topology, Capacity capacity, int workerIndex, boolean usesAccelerators);
}
