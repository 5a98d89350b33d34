package org.fescueloom.placement;

/** Provides the capacity that a planner may use on each worker. */
interface Capacity {
    /**
     * Returns the usable accelerators of a worker; bit i stands for the accelerator with index i.
     */
    long accelerators(int workerIndex);

    /** Returns the usable processor cores of a worker. */
    int cpus(int workerIndex);

    /** Returns the usable memory of a worker, in mebibytes. */
    long memoryMb(int workerIndex);
}
