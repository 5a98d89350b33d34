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
 * Tells jobs that fail everywhere from workers that fail everything.
 *
 * <p>A failure counts against the job and against the worker. When different jobs fail on one
 * worker, the worker is set aside and its failures no longer count against the jobs. When a job
 * fails on different workers in several attempts, the job is at fault and its failures no longer
 * count against the workers. Not thread-safe.
 */
public final class FailureTracker {
    /** How many attempts must fail, each on a worker not blamed before, to end a job. */
    public static final int ATTEMPTS_ON_DIFFERENT_WORKERS = 3;

    /** How many attempts of any kind may fail before a job ends. */
    public static final int MAX_FAILED_ATTEMPTS = 6;

    private final Map<String, List<List<String>>> failuresByJob = new HashMap<>();
    private final Map<String, WorkerHealth> healthByWorker = new TreeMap<>();

    /**
     * Records a failed attempt.
     *
     * @param job the job, not null
     * @param workers the workers on which its tasks failed, not null
     * @param atMillis the time of the failure, in milliseconds since the epoch
     * @return whether the job is at fault and ends
     */
    public boolean recordFailure(String job, List<String> workers, long atMillis) {
        List<List<String>> failures = failuresByJob.computeIfAbsent(job, j -> new ArrayList<>());
        failures.add(workers);
        for (String worker : workers) {
            WorkerHealth health = health(worker);
            healthByWorker.put(worker, health.withFailure(job, atMillis));
        }
        boolean atFault = isAtFault(failures);
        if (atFault) {
            healthByWorker.replaceAll((w, h) -> h.withoutJob(job));
            failuresByJob.remove(job);
        }
        return atFault;
    }

    /**
     * Records an attempt whose tasks all ended with success.
     *
     * @param job the job, not null
     * @param workers the workers of the attempt, not null
     */
    public void recordSuccess(String job, Collection<String> workers) {
        workers.forEach(healthByWorker::remove);
        failuresByJob.remove(job);
    }

    /**
     * Returns what is known about a worker.
     *
     * @param worker the worker, not null
     * @return its health, never null
     */
    public WorkerHealth health(String worker) {
        WorkerHealth known = healthByWorker.get(worker);
        return known == null ? WorkerHealth.withoutFailures(worker) : known;
    }

    /**
     * Returns every worker on which something failed since its last success.
     *
     * @return the healths in order of the workers' names, never null
     */
    public List<WorkerHealth> workersWithFailures() {
        return List.copyOf(healthByWorker.values());
    }

    /**
     * Drops what is known about the failures of a job.
     *
     * @param job the job, not null
     */
    void forgetJob(String job) {
        failuresByJob.remove(job);
    }

    private boolean isAtFault(List<List<String>> failures) {
        if (failures.size() >= MAX_FAILED_ATTEMPTS) {
            return true;
        }
        Set<String> blamed = new HashSet<>();
        int counted = 0;
        for (List<String> workers : failures) {
            boolean fresh = false;
            for (String worker : workers) {
                fresh |= health(worker).consecutiveExclusions() == 0 & blamed.add(worker);
            }
            counted += fresh ? 1 : 0;
        }
        return counted >= ATTEMPTS_ON_DIFFERENT_WORKERS;
    }
}
