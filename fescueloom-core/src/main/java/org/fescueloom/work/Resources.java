package org.fescueloom.work;

/**
 * Counts what a task takes of an upstream, or what an upstream has.
 *
 * @param cpuMillis processor time, in thousandths of a core; may be negative in a difference
 * @param memoryMegabytes memory, in MB; may be negative in a difference
 * @param accelerators whole accelerators; may be negative in a difference
 */
public record Resources(long cpuMillis, long memoryMegabytes, long accelerators) {
    /** Nothing at all. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** How many cores one accelerator counts as in the weight of a job. */
    private static final double CORES_PER_ACCELERATOR = 8.0;

    private static final double MILLIS_PER_CORE = 1_000.0;

    /**
     * Adds other resources.
     *
     * @param other what is added, not null
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
     * @param other what is subtracted, not null
     * @return the difference, whose parts may be negative, never null
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMegabytes - other.memoryMegabytes,
                accelerators - other.accelerators);
    }

    /**
     * Multiplies each part.
     *
     * @param count the factor
     * @return the product, never null
     */
    public Resources times(long count) {
        return new Resources(cpuMillis * count, memoryMegabytes * count, accelerators * count);
    }

    /**
     * Tells whether these resources fit into a room.
     *
     * @param room the room, not null
     * @return whether no part is greater than that of the room
     */
    public boolean fitsIn(Resources room) {
        return cpuMillis <= room.cpuMillis
                && memoryMegabytes <= room.memoryMegabytes
                && accelerators <= room.accelerators;
    }

    /**
     * Returns how many cores these resources are worth.
     *
     * @return cores, with each accelerator counted as eight
     */
    public double cores() {
        return cpuMillis / MILLIS_PER_CORE + accelerators * CORES_PER_ACCELERATOR;
    }
}
