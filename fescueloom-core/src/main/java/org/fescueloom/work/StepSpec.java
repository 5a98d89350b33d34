package org.fescueloom.work;

import java.util.List;
import java.util.Objects;

/**
 * Describes one step of a job: a number of like tasks.
 *
 * @param count how many tasks the step has, at least 1
 * @param need what each task takes, not null
 * @param estimateMillis a rough run time of one task, in milliseconds, not negative
 * @param after the numbers of the earlier steps whose tasks must all be done first, not null
 * @param gang whether the tasks work only together
 * @param oneRack whether the tasks of a gang slow down when they stand in several racks
 * @param requiredLabel the label that an upstream must carry; empty if any will do
 * @param dataRack the rack that holds the data; empty if there is none
 * @param maxPerUpstream how many tasks of the step may run on one upstream; 0 for no limit
 * @param checkpoints whether a stopped task can resume from a checkpoint
 * @param copies whether copies of a task may run side by side
 * @param endless whether the tasks run until the job is cancelled
 * @param image what the tasks run; empty if unknown
 * @param latencyTargetMillis the tail latency that endless tasks must keep, in milliseconds; 0 for
 *     none
 * @param filler whether the tasks use only the processor time that others leave over
 * @param maxUnavailable how many endless tasks may be away by our own doing at once; 0 for no limit
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
    /** The most tasks that one step may have. */
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
            throw new IllegalArgumentException("count is out of range: " + count);
        }
        if (estimateMillis < 0 || maxPerUpstream < 0 || maxUnavailable < 0) {
            throw new IllegalArgumentException("a number of the step is negative");
        }
    }

    /**
     * Returns what a task takes of the room of an upstream.
     *
     * @return the need, without processor time for a filler, never null
     */
    public Resources reservedResources() {
        return filler ? new Resources(0, need.memoryMegabytes(), need.accelerators()) : need;
    }
}
