package org.fescueloom.work;

import java.util.Objects;
import java.util.Optional;

/**
 * Identifies one task of one occurrence of a job.
 *
 * @param job the identifier of the job, not null
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task in the step, from 0
 */
public record TaskKey(String job, int occurrence, int step, int index) {
    /** The number of parts of the text form. */
    private static final int PARTS = 4;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public TaskKey {
        Objects.requireNonNull(job, "job");
        if (occurrence < 0 || step < 0 || index < 0) {
            throw new IllegalArgumentException(
                    "occurrence, step and index must not be negative, but are "
                            + occurrence
                            + ", "
                            + step
                            + " and "
                            + index);
        }
    }

    /**
     * Parses the text form of a key.
     *
     * @param text "JOB.OCCURRENCE.STEP.INDEX", not null
     * @return the key, or empty if the text does not have this form
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
     * Returns the identifier of the job in the text form of a key.
     *
     * @param text the text form, not null
     * @return the text before the first dot, or the whole text if it has no dot; never null
     */
    public static String jobOf(String text) {
        int end = text.indexOf('.');
        return end < 0 ? text : text.substring(0, end);
    }

    /**
     * Returns the text form of this key.
     *
     * @return "JOB.OCCURRENCE.STEP.INDEX", never null
     */
    @Override
    public String toString() {
        return job + '.' + occurrence + '.' + step + '.' + index;
    }
}
