package org.fescueloom.job;

import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Holds what the failures of tasks tell about one worker.
 *
 * @param worker the worker, not null
 * @param failedJobs the jobs that failed on it since its last success; null counts as none
 * @param consecutiveExclusions how many times in a row it was set aside
 * @param setAsideUntilMillis the time until which it takes nothing, in milliseconds since the
 *     epoch; 0 if it is not set aside
 */
public record WorkerHealth(
        String worker,
        Set<String> failedJobs,
        int consecutiveExclusions,
        long setAsideUntilMillis) {
    /** How many different jobs must fail on a worker before it is set aside. */
    public static final int FAILED_JOBS_THRESHOLD = 2;

    /** How long a worker is set aside for the first time, in milliseconds. */
    public static final long FIRST_EXCLUSION_MILLIS = 60_000L;

    /** The longest time for which a worker is set aside, in milliseconds. */
    public static final long MAX_EXCLUSION_MILLIS = 3_600_000L;

    private static final int MOST_DOUBLINGS = 6;

    /** Checks the name and copies the jobs. */
    public WorkerHealth {
        Objects.requireNonNull(worker, "worker");
        failedJobs = failedJobs == null ? Set.of() : Set.copyOf(failedJobs);
    }

    /**
     * Creates the health of a worker on which nothing failed.
     *
     * @param worker the worker, not null
     * @return the health, never null
     */
    public static WorkerHealth withoutFailures(String worker) {
        return new WorkerHealth(worker, null, 0, 0L);
    }

    /**
     * Returns how far the worker is trusted.
     *
     * @param nowMillis the time, in milliseconds since the epoch
     * @return the standing, never null
     */
    public WorkerStanding standing(long nowMillis) {
        if (consecutiveExclusions == 0) {
            return WorkerStanding.TRUSTED;
        }
        return nowMillis < setAsideUntilMillis
                ? WorkerStanding.SET_ASIDE
                : WorkerStanding.ON_PROBATION;
    }

    /**
     * Returns the health after a task of a job failed on the worker.
     *
     * @param job the job, not null
     * @param atMillis the time of the failure, in milliseconds since the epoch
     * @return the health, never null
     */
    public WorkerHealth withFailure(String job, long atMillis) {
        Set<String> jobs = new LinkedHashSet<>(failedJobs);
        jobs.add(job);
        WorkerStanding standing = standing(atMillis);
        boolean proven =
                standing == WorkerStanding.ON_PROBATION
                        || standing == WorkerStanding.TRUSTED
                                && jobs.size() >= FAILED_JOBS_THRESHOLD;
        if (!proven) {
            return new WorkerHealth(worker, jobs, consecutiveExclusions, setAsideUntilMillis);
        }
        return new WorkerHealth(
                worker,
                jobs,
                consecutiveExclusions + 1,
                atMillis + intervalMillis(consecutiveExclusions));
    }

    /**
     * Returns the health after a job turned out to be at fault itself.
     *
     * @param job the job, not null
     * @return the health without the job's failures; trusted again if too few others are left
     */
    public WorkerHealth withoutJob(String job) {
        if (!failedJobs.contains(job)) {
            return this;
        }
        Set<String> jobs = new LinkedHashSet<>(failedJobs);
        jobs.remove(job);
        boolean trusted = jobs.size() < FAILED_JOBS_THRESHOLD;
        return new WorkerHealth(
                worker,
                jobs,
                trusted ? 0 : consecutiveExclusions,
                trusted ? 0L : setAsideUntilMillis);
    }

    private static long intervalMillis(int strikes) {
        long grown = FIRST_EXCLUSION_MILLIS << Math.min(strikes, MOST_DOUBLINGS);
        return Math.min(grown, MAX_EXCLUSION_MILLIS);
    }
}
