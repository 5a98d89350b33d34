package org.fescueloom.placement;

/** Says which of several sets of workers a gang prefers. */
enum WorkerOrder {
    /** Takes workers as they are listed, and the first set that holds the gang. */
    LISTED {
        @Override
        long cost(Topology topology, Capacity capacity, int worker, boolean accelerated) {
            return 0L;
        }
    },
    /** Prefers workers with the least left free. */
    FULLEST {
        @Override
        long cost(Topology topology, Capacity capacity, int worker, boolean accelerated) {
            int free = Long.bitCount(capacity.accelerators(worker));
            int cpus = Math.max(0, Math.min(capacity.cpus(worker), CPU_MAX));
            return accelerated ? free : free * CPU_RANGE + cpus;
        }
    };

    private static final long CPU_RANGE = 65_536L;
    private static final int CPU_MAX = 65_535;

    /**
     * Returns how unwelcome a worker is.
     *
     * @param topology the workers, not null
     * @param capacity what may be used, not null
     * @param worker the index of the worker
     * @param accelerated whether the gang uses accelerators
     * @return the cost; the lowest is taken first, the listed order among equals
     */
    abstract long cost(Topology topology, Capacity capacity, int worker, boolean accelerated);
}
