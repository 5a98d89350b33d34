package org.fescueloom.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Distinguishes jobs that fail on every worker from workers on which every job fails.
 *
 * <p>A failure counts against the job and against the worker. If different jobs fail on one worker,
 * the worker is excluded from new gangs for a time, and failures on it no longer count against
 * jobs. If a job fails on different workers in several attempts, the job is at fault, and its
 * failures no longer count against the workers. Not thread-safe.
 */
public final class FailureTracker {
    /**
     * The number of failed attempts after which a job ends, if each failed on a worker that is
     * {@link WorkerStanding#TRUSTED} and on which no earlier attempt of the job had failed.
     */
    public static final int ATTEMPTS_ON_DIFFERENT_WORKERS = 3;

    /** The number of failed attempts after which a job ends in any case. */
    public static final int MAX_FAILED_ATTEMPTS = 6;

    /** The workers on which tasks failed, by job, with one list for each failed attempt. */
    private final Map<String, List<List<String>>> failedWorkersByJob = new HashMap<>();

    private final Map<String, WorkerHealth> healthByWorker = new TreeMap<>();

    /**
     * Records a failed attempt.
     *
     * @param job the job, not null
     * @param workers the workers on which tasks of the attempt failed, not null
     * @param atMillis the time of the failure, in milliseconds since the epoch
     * @return whether the job is at fault and must end
     */
    public boolean recordFailure(String job, List<String> workers, long atMillis) {
        List<List<String>> failedWorkersOfAttempts =
                failedWorkersByJob.computeIfAbsent(job, j -> new ArrayList<>());
        failedWorkersOfAttempts.add(workers);
        // The health is updated first, because isAtFault leaves out workers that this failure
        // excludes.
        for (String worker : workers) {
            WorkerHealth health = health(worker);
            healthByWorker.put(worker, health.withFailure(job, atMillis));
        }
        boolean jobAtFault = isAtFault(failedWorkersOfAttempts);
        if (jobAtFault) {
            healthByWorker.replaceAll((w, h) -> h.withoutJob(job));
            failedWorkersByJob.remove(job);
        }
        return jobAtFault;
    }

    /**
     * Records an attempt whose tasks all ended with success.
     *
     * @param job the job, not null
     * @param workers the workers of the attempt, not null
     */
    public void recordSuccess(String job, Collection<String> workers) {
        workers.forEach(healthByWorker::remove);
        failedWorkersByJob.remove(job);
    }

    /**
     * Returns the health of a worker.
     *
     * @param worker the worker, not null
     * @return the health, never null
     */
    public WorkerHealth health(String worker) {
        WorkerHealth known = healthByWorker.get(worker);
        return known == null ? WorkerHealth.withoutFailures(worker) : known;
    }

    /**
     * Returns the health of every worker on which a task failed since the worker's last success.
     *
     * @return the health records in order of the workers' names, never null
     */
    public List<WorkerHealth> workersWithFailures() {
        return List.copyOf(healthByWorker.values());
    }

    /**
     * Removes the recorded failures of a job; the health of workers stays unchanged.
     *
     * @param job the job, not null
     */
    void forgetJob(String job) {
        failedWorkersByJob.remove(job);
    }

    private boolean isAtFault(List<List<String>> failedWorkersOfAttempts) {
        if (failedWorkersOfAttempts.size() >= MAX_FAILED_ATTEMPTS) {
            return true;
        }
        Set<String> seenWorkers = new HashSet<>();
        int attemptsOnNewWorkers = 0;
        for (List<String> workers : failedWorkersOfAttempts) {
            boolean newWorker = false;
            for (String worker : workers) {
                // The operator is not &&, so that every worker is recorded as seen.
                newWorker |= health(worker).consecutiveExclusions() == 0 & seenWorkers.add(worker);
            }
            attemptsOnNewWorkers += newWorker ? 1 : 0;
        }
        return attemptsOnNewWorkers >= ATTEMPTS_ON_DIFFERENT_WORKERS;
    }
}
