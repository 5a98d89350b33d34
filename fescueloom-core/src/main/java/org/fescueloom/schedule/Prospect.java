package org.fescueloom.schedule;

/** Names what can still become of a job; the constants stand in the order of service. */
public enum Prospect {
    /** It can be done by its objective. */
    IN_TIME,

    /** It will be late, and is still worth something. */
    LATE,

    /** It will be so late that nothing is gained by hurry. */
    HOPELESS;

    /** A job that takes longer than this many times its objective earns nothing. */
    private static final int WORTHLESS_FACTOR = 3;

    /**
     * Judges a job.
     *
     * @param dueMillis when the job could start, on the clock of the caller, in milliseconds
     * @param objectiveMillis when it should be done, on the same clock
     * @param endMillis when it would be done if it started now, on the same clock
     * @return the prospect, never null
     */
    public static Prospect of(long dueMillis, long objectiveMillis, long endMillis) {
        if (endMillis <= objectiveMillis) {
            return IN_TIME;
        }
        long worthless = dueMillis + WORTHLESS_FACTOR * (objectiveMillis - dueMillis);
        return endMillis <= worthless ? LATE : HOPELESS;
    }
}
