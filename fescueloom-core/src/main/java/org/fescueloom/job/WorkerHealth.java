package org.fescueloom.job;

import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Holds the health of one worker: the failures of tasks on it, and the exclusion from new gangs
 * that follows from them. Immutable.
 *
 * @param worker the worker, not null
 * @param failedJobs the jobs that failed on the worker since its last success; null counts as none
 * @param consecutiveExclusions how many times the worker was excluded without a success in between
 * @param excludedUntilMillis the time until which the worker is excluded from new gangs, in
 *     milliseconds since the epoch; 0 if the worker was not excluded
 */
public record WorkerHealth(
        String worker,
        Set<String> failedJobs,
        int consecutiveExclusions,
        long excludedUntilMillis) {
    /** The number of different jobs that must fail on a worker before it is excluded. */
    public static final int FAILED_JOBS_THRESHOLD = 2;

    /** The duration of the first exclusion of a worker, in milliseconds. */
    public static final long FIRST_EXCLUSION_MILLIS = 60_000L;

    /** The maximum duration of an exclusion, in milliseconds. */
    public static final long MAX_EXCLUSION_MILLIS = 3_600_000L;

    /**
     * After this many doublings an exclusion exceeds the maximum; the limit prevents an overflow.
     */
    private static final int MAX_DOUBLINGS = 6;

    /** Checks the name and copies the jobs. */
    public WorkerHealth {
        Objects.requireNonNull(worker, "worker");
        failedJobs = failedJobs == null ? Set.of() : Set.copyOf(failedJobs);
    }

    /**
     * Creates the health of a worker on which no task has failed.
     *
     * @param worker the worker, not null
     * @return the health, never null
     */
    public static WorkerHealth withoutFailures(String worker) {
        return new WorkerHealth(worker, null, 0, 0L);
    }

    /**
     * Returns the standing of the worker: which new gangs it may take.
     *
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the standing, never null
     */
    public WorkerStanding standing(long nowMillis) {
        if (consecutiveExclusions == 0) {
            return WorkerStanding.TRUSTED;
        }
        return nowMillis < excludedUntilMillis
                ? WorkerStanding.SET_ASIDE
                : WorkerStanding.ON_PROBATION;
    }

    /**
     * Returns the health after a task of a job failed on the worker.
     *
     * @param job the job, not null
     * @param atMillis the time of the failure, in milliseconds since the epoch
     * @return the health, never null; with a further exclusion if the worker was on probation, or
     *     if it was trusted and {@link #FAILED_JOBS_THRESHOLD} different jobs have failed on it
     */
    public WorkerHealth withFailure(String job, long atMillis) {
        Set<String> jobs = new LinkedHashSet<>(failedJobs);
        jobs.add(job);
        WorkerStanding standing = standing(atMillis);
        boolean excluded =
                standing == WorkerStanding.ON_PROBATION
                        || standing == WorkerStanding.TRUSTED
                                && jobs.size() >= FAILED_JOBS_THRESHOLD;
        if (!excluded) {
            return new WorkerHealth(worker, jobs, consecutiveExclusions, excludedUntilMillis);
        }
        return new WorkerHealth(
                worker,
                jobs,
                consecutiveExclusions + 1,
                atMillis + exclusionMillis(consecutiveExclusions));
    }

    /**
     * Returns the health without the failures of a job that is at fault itself.
     *
     * @param job the job, not null
     * @return the health, never null; trusted again if the number of other failed jobs is below
     *     {@link #FAILED_JOBS_THRESHOLD}
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
                trusted ? 0L : excludedUntilMillis);
    }

    private static long exclusionMillis(int earlierExclusions) {
        long doubled = FIRST_EXCLUSION_MILLIS << Math.min(earlierExclusions, MAX_DOUBLINGS);
        return Math.min(doubled, MAX_EXCLUSION_MILLIS);
    }
}
