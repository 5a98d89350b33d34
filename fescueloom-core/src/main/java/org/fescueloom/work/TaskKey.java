package org.fescueloom.work;

import java.util.Objects;
import java.util.Optional;

/**
 * Names one task of one occurrence of a job.
 *
 * @param job the identifier of the job, not null
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task in the step, from 0
 */
public record TaskKey(String job, int occurrence, int step, int index) {
    private static final int PARTS = 4;

    /** Checks the values. */
    public TaskKey {
        Objects.requireNonNull(job, "job");
        if (occurrence < 0 || step < 0 || index < 0) {
            throw new IllegalArgumentException("a number of a task is negative");
        }
    }

    /**
     * Reads the text form.
     *
     * @param text "JOB.OCCURRENCE.STEP.INDEX", not null
     * @return the key, or empty if the text is no such name
     */
    public static Optional<TaskKey> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS || parts[0].isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new TaskKey(
                            parts[0],
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]),
                            Integer.parseInt(parts[3])));
        } catch (IllegalArgumentException expected) {
            return Optional.empty();
        }
    }

    /**
     * Returns the text form.
     *
     * @return "JOB.OCCURRENCE.STEP.INDEX", never null
     */
    @Override
    public String toString() {
        return job + '.' + occurrence + '.' + step + '.' + index;
    }
}
