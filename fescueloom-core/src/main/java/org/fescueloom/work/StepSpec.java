package org.fescueloom.work;

import java.util.List;
import java.util.Objects;

/**
 * Describes one step of a job: a number of identical tasks.
 *
 * @param count the number of tasks of the step, from 1 to {@value #MAX_TASKS}
 * @param need the resources that each task needs, not null
 * @param estimateMillis the estimated run time of one task, in milliseconds, not negative
 * @param after the numbers of the earlier steps that this step depends on: all their tasks must be
 *     done before a task of this step starts; not null
 * @param gang whether the tasks must run at the same time
 * @param oneRack whether the tasks of a gang run slower when they are spread over several racks
 * @param requiredLabel the label that an upstream must have, not null; empty if any upstream may
 *     run the tasks
 * @param dataRack the rack that holds the data of the tasks, not null; empty if there is none
 * @param maxPerUpstream the maximum number of tasks of the step on one upstream; 0 for no limit
 * @param checkpoints whether a stopped task can resume from a checkpoint
 * @param copies whether speculative execution is allowed: copies of a task run in parallel, and the
 *     first to finish counts
 * @param endless whether the tasks run until the job is cancelled
 * @param image the image that the tasks run, not null; empty if unknown
 * @param latencyTargetMillis the tail latency that endless tasks must not exceed, in milliseconds;
 *     0 for none
 * @param filler whether the tasks use only processor time that other tasks leave unused
 * @param maxUnavailable the maximum number of endless tasks that the scheduler itself may make
 *     unavailable at the same time; 0 for no limit
 */
public record StepSpec(
        int count,
        Resources need,
        long estimateMillis,
        List<Integer> after,
        boolean gang,
        boolean oneRack,
        String requiredLabel,
        String dataRack,
        int maxPerUpstream,
        boolean checkpoints,
        boolean copies,
        boolean endless,
        String image,
        long latencyTargetMillis,
        boolean filler,
        int maxUnavailable) {
    /** The maximum number of tasks of one step. */
    public static final int MAX_TASKS = 4_096;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a number is out of range
     */
    public StepSpec {
        Objects.requireNonNull(need, "need");
        Objects.requireNonNull(requiredLabel, "requiredLabel");
        Objects.requireNonNull(dataRack, "dataRack");
        Objects.requireNonNull(image, "image");
        after = List.copyOf(after);
        if (count < 1 || count > MAX_TASKS) {
            throw new IllegalArgumentException(
                    "count must be from 1 to " + MAX_TASKS + ", but is " + count);
        }
        if (estimateMillis < 0 || maxPerUpstream < 0 || maxUnavailable < 0) {
            throw new IllegalArgumentException(
                    "estimateMillis, maxPerUpstream and maxUnavailable must not be negative, but"
                            + " are "
                            + estimateMillis
                            + ", "
                            + maxPerUpstream
                            + " and "
                            + maxUnavailable);
        }
    }

    /**
     * Returns the resources that a task reserves on its upstream.
     *
     * @return the resources that the task needs, without processor time for a filler; never null
     */
    public Resources reservedResources() {
        return filler ? new Resources(0, need.memoryMegabytes(), need.accelerators()) : need;
    }
}
