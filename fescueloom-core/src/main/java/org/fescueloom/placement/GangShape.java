package org.fescueloom.placement;

import org.fescueloom.config.Adjacency;
import org.fescueloom.job.JobSpec;

/**
 * Holds the properties of a gang that decide where it fits.
 *
 * @param tasks the number of tasks that run together
 * @param acceleratorsPerTask the number of accelerators that each task needs
 * @param cpus the number of processor cores that each task needs
 * @param memoryMb the memory that each task needs, in mebibytes
 * @param adjacency the kind of topology domain that must contain all accelerators
 */
record GangShape(int tasks, int acceleratorsPerTask, int cpus, long memoryMb, Adjacency adjacency) {
    static GangShape of(JobSpec spec) {
        return new GangShape(
                spec.tasks(),
                spec.acceleratorsPerTask(),
                spec.cpus(),
                spec.memoryMb(),
                spec.adjacency());
    }
}
