package org.fescueloom.schedule;

/**
 * Tells whether a job can still meet its objective. The scheduler serves jobs in the order of the
 * constants.
 */
public enum Prospect {
    /** The job can end by its objective. */
    IN_TIME,

    /** The job will miss its objective, and its result still has value. */
    LATE,

    /** The job will be so late that an early start gains nothing. */
    HOPELESS;

    /**
     * The result of a job has no value once the job has taken this many times as long as its
     * objective allows, counted from the time at which the job was due to start.
     */
    private static final int WORTHLESS_FACTOR = 3;

    /**
     * Returns the prospect of a job. All times are on the same clock.
     *
     * @param dueMillis the time at which the job was due to start, in milliseconds
     * @param objectiveMillis the time by which the job should end, in milliseconds
     * @param endMillis the time at which the job would end if it started now, in milliseconds
     * @return the prospect, never null
     */
    public static Prospect of(long dueMillis, long objectiveMillis, long endMillis) {
        if (endMillis <= objectiveMillis) {
            return IN_TIME;
        }
        long worthlessAtMillis = dueMillis + WORTHLESS_FACTOR * (objectiveMillis - dueMillis);
        return endMillis <= worthlessAtMillis ? LATE : HOPELESS;
    }
}
