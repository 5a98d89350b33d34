package org.fescueloom.work;

import java.util.List;
import java.util.Objects;
import java.util.function.IntToLongFunction;

/**
 * Describes the work of a job: its steps and how often they run.
 *
 * @param payload the text that is passed to each task, not null
 * @param steps the steps, at least one; each depends on earlier steps only
 * @param startAtMillis the time at which the first occurrence is due, in milliseconds since 1970; 0
 *     for at once
 * @param intervalMillis the time between the starts of two occurrences, in milliseconds
 * @param occurrences the number of times that the steps run, from 1 to {@value #MAX_OCCURRENCES}
 */
public record WorkSpec(
        String payload,
        List<StepSpec> steps,
        long startAtMillis,
        long intervalMillis,
        int occurrences) {
    /** The maximum length of a payload, in bytes of UTF-8. */
    public static final int MAX_PAYLOAD_BYTES = 4_000;

    /** The maximum number of tasks of one occurrence of a job that is accepted. */
    public static final int MAX_TASKS = 16_384;

    /** The maximum number of occurrences of a job. */
    public static final int MAX_OCCURRENCES = 10_000;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if there is no step, a step depends on a step that is not
     *     earlier, or a number is out of range
     */
    public WorkSpec {
        Objects.requireNonNull(payload, "payload");
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job must have at least one step");
        }
        if (occurrences < 1 || occurrences > MAX_OCCURRENCES) {
            throw new IllegalArgumentException(
                    "occurrences must be from 1 to " + MAX_OCCURRENCES + ", but is " + occurrences);
        }
        if (startAtMillis < 0 || intervalMillis < 0) {
            throw new IllegalArgumentException(
                    "startAtMillis and intervalMillis must not be negative, but are "
                            + startAtMillis
                            + " and "
                            + intervalMillis);
        }
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                if (before < 0 || before >= i) {
                    throw new IllegalArgumentException(
                            "step " + i + " depends on step " + before + ", which is not earlier");
                }
            }
        }
    }

    /**
     * Returns the time at which an occurrence is due.
     *
     * @param occurrence the number of the occurrence, from 0
     * @return the time in milliseconds since 1970; 0 for at once
     */
    public long dueMillis(int occurrence) {
        return startAtMillis + occurrence * intervalMillis;
    }

    /**
     * Returns the number of tasks of one occurrence.
     *
     * @return the sum over all steps
     */
    public long tasksPerOccurrence() {
        return steps.stream().mapToLong(StepSpec::count).sum();
    }

    /**
     * Tells whether the job needs a feature that the scheduler does not support: filler tasks, or a
     * limit on unavailable tasks.
     *
     * @return whether the job must be refused
     */
    public boolean needsUnsupportedFeature() {
        return steps.stream().anyMatch(step -> step.filler() || step.maxUnavailable() > 0);
    }

    /**
     * Returns the work of one occurrence.
     *
     * @return the estimated work in core-seconds, with accelerators counted as cores
     */
    public double coreSeconds() {
        double sum = 0;
        for (StepSpec step : steps) {
            sum += step.count() * step.need().cores() * step.estimateMillis() / 1_000.0;
        }
        return sum;
    }

    /**
     * Returns the estimated run time of the critical path: the longest chain of steps that depend
     * on each other.
     *
     * @return the time in milliseconds
     */
    public long criticalPathMillis() {
        return criticalPathMillis(step -> steps.get(step).estimateMillis());
    }

    /**
     * Returns the run time of the critical path with other estimates.
     *
     * @param estimateMillis returns the estimated run time of a task by the number of its step, in
     *     milliseconds, not null
     * @return the time in milliseconds
     */
    public long criticalPathMillis(IntToLongFunction estimateMillis) {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long start = 0;
            for (int before : steps.get(i).after()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = start + estimateMillis.applyAsLong(i);
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }
}
