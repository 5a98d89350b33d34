package org.fescueloom.work;

import java.util.List;
import java.util.Objects;

/**
 * Describes the whole work of a job.
 *
 * @param payload the text that is handed to each task, not null
 * @param steps the steps, at least one; each names only earlier ones
 * @param startAtMillis when the first occurrence is due, in milliseconds since 1970; 0 for at once
 * @param intervalMillis the time between two occurrences, in milliseconds
 * @param occurrences how often the steps run, at least 1
 */
public record WorkSpec(
        String payload,
        List<StepSpec> steps,
        long startAtMillis,
        long intervalMillis,
        int occurrences) {
    /** The most bytes of a payload, in UTF-8. */
    public static final int MAX_PAYLOAD_BYTES = 4_000;

    /** The most occurrences that a job may have. */
    public static final int MAX_OCCURRENCES = 10_000;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if there is no step, a step names one that is not before it,
     *     or a number is out of range
     */
    public WorkSpec {
        Objects.requireNonNull(payload, "payload");
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job needs at least one step");
        }
        if (occurrences < 1 || occurrences > MAX_OCCURRENCES) {
            throw new IllegalArgumentException("occurrences is out of range: " + occurrences);
        }
        if (startAtMillis < 0 || intervalMillis < 0) {
            throw new IllegalArgumentException("a time of the job is negative");
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
     * Returns when an occurrence is due.
     *
     * @param occurrence its number, from 0
     * @return the time in milliseconds since 1970; 0 for at once
     */
    public long dueMillis(int occurrence) {
        return startAtMillis + occurrence * intervalMillis;
    }

    /**
     * Tells whether the job asks for what the scheduler cannot promise yet: tasks that fill, or
     * tasks of which only so many may be away at once.
     *
     * @return whether the job must be refused
     */
    public boolean needsUnsupportedFeature() {
        return steps.stream().anyMatch(step -> step.filler() || step.maxUnavailable() > 0);
    }

    /**
     * Returns the work of one occurrence.
     *
     * @return core-seconds by the estimates, with accelerators counted as cores
     */
    public double coreSeconds() {
        double sum = 0;
        for (StepSpec step : steps) {
            sum += step.count() * step.need().cores() * step.estimateMillis() / 1_000.0;
        }
        return sum;
    }

    /**
     * Returns the estimated run time of the longest chain of steps.
     *
     * @return the time in milliseconds
     */
    public long criticalPathMillis() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long start = 0;
            for (int before : steps.get(i).after()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = start + steps.get(i).estimateMillis();
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }
}
