package org.fescueloom.work;

/**
 * Counts the resources that a task needs, or the capacity of an upstream.
 *
 * @param cpuMillis processor time, in thousandths of a core; may be negative in a difference
 * @param memoryMegabytes memory, in MB; may be negative in a difference
 * @param accelerators whole accelerators; may be negative in a difference
 */
public record Resources(long cpuMillis, long memoryMegabytes, long accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** The number of cores that one accelerator counts as in the size of a job. */
    private static final double CORES_PER_ACCELERATOR = 8.0;

    private static final double MILLIS_PER_CORE = 1_000.0;

    /**
     * Adds other resources.
     *
     * @param other the resources to add, not null
     * @return the sum, never null
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMegabytes + other.memoryMegabytes,
                accelerators + other.accelerators);
    }

    /**
     * Subtracts other resources.
     *
     * @param other the resources to subtract, not null
     * @return the difference, never null; its components may be negative
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Multiplies each component.
     *
     * @param count the factor
     * @return the product, never null
     */
    public Resources times(long count) {
        return new Resources(cpuMillis * count, memoryMegabytes * count, accelerators * count);
    }

    /**
     * Tells whether these resources fit into a capacity.
     *
     * @param capacity the capacity, not null
     * @return whether no component is greater than that of the capacity
     */
    public boolean fitsIn(Resources capacity) {
        return cpuMillis <= capacity.cpuMillis
                && memoryMegabytes <= capacity.memoryMegabytes
                && accelerators <= capacity.accelerators;
    }

    /**
     * Tells how many times other resources fit into these.
     *
     * @param need the other resources, not null
     * @return the number, 0 or more; {@code Long.MAX_VALUE} if nothing is needed
     */
    public long quotient(Resources need) {
        return Math.max(
                0,
                Math.min(
                        quotient(cpuMillis, need.cpuMillis),
                        Math.min(
                                quotient(memoryMegabytes, need.memoryMegabytes),
                                quotient(accelerators, need.accelerators))));
    }

    private static long quotient(long available, long need) {
        if (need > 0) {
            return available < 0 ? 0 : available / need;
        }
        return need <= available ? Long.MAX_VALUE : 0;
    }

    /**
     * Returns these resources as a number of cores.
     *
     * @return the cores, with each accelerator counted as eight cores and memory not counted
     */
    public double cores() {
        return cpuMillis / MILLIS_PER_CORE + accelerators * CORES_PER_ACCELERATOR;
    }
}
