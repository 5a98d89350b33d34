package org.fescueloom.placement;

import org.fescueloom.config.Adjacency;
import org.fescueloom.job.JobSpec;

/**
 * Is what decides where a gang fits.
 *
 * @param tasks how many tasks run together
 * @param acceleratorsPerTask how many accelerators each task needs
 * @param cpus how many processor cores each task needs
 * @param memoryMb the memory each task needs, in mebibytes
 * @param adjacency within what bound all accelerators lie
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
