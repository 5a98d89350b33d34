package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fescueloom.daemon.Service;
import org.fescueloom.daemon.concurrent.Timers;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.daemon.metrics.Metrics;
import org.fescueloom.job.Job;
import org.fescueloom.job.JobSnapshot;

/**
 * Appends snapshots of jobs to the {@code jobs} stream before the records from which the state of
 * the jobs was folded expire.
 *
 * <p>Only the planner appends snapshots, at most {@value #MAX_SNAPSHOTS_PER_ROUND} per round. Every
 * reader ignores a snapshot if another record has changed the job since the state that the snapshot
 * contains, so a delayed snapshot does no harm.
 */
public final class JobSnapshotService implements Service {
    /**
     * The age of a job's acceptance record or last snapshot at which the next snapshot is due, in
     * milliseconds.
     */
    public static final long SNAPSHOT_AGE_MILLIS = 3_600_000L;

    /** The time between two rounds, in milliseconds. */
    private static final long ROUND_INTERVAL_MILLIS = 30_000L;

    private static final int MAX_SNAPSHOTS_PER_ROUND = 64;

    private final ScheduledExecutorService executor = Timers.singleThread("job-snapshots");
    private final JobLedger ledger;
    private final JobStreamWriter log;
    private final BooleanSupplier planning;
    private final Metrics metrics;

    /**
     * Creates the service.
     *
     * @param ledger holds the jobs, not null
     * @param log appends job records, not null
     * @param planning tells whether this entry is the planner, not null
     * @param metrics counts snapshots and failed snapshots, not null
     */
    public JobSnapshotService(
            JobLedger ledger, JobStreamWriter log, BooleanSupplier planning, Metrics metrics) {
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.log = Objects.requireNonNull(log, "log");
        this.planning = Objects.requireNonNull(planning, "planning");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void start(String address) {
        executor.scheduleWithFixedDelay(
                this::runRoundSafely,
                ROUND_INTERVAL_MILLIS,
                ROUND_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    /**
     * Appends a snapshot of each job that is due, if this entry is the planner.
     *
     * @param nowMillis the current time, in milliseconds since the epoch
     * @return the number of snapshots that were sent to the log service
     */
    int writeDueSnapshots(long nowMillis) {
        if (!planning.getAsBoolean()) {
            return 0;
        }
        long storedBeforeMillis = nowMillis - SNAPSHOT_AGE_MILLIS;
        List<Job> dueJobs =
                ledger.read(
                        fold ->
                                fold.dueForSnapshot(storedBeforeMillis).stream()
                                        .limit(MAX_SNAPSHOTS_PER_ROUND)
                                        .toList());
        for (Job job : dueJobs) {
            String recordId = "job-" + job.id() + "-" + job.changedAtOffset() + "-at-" + nowMillis;
            log.append(recordId, new JobSnapshot(job))
                    .whenComplete(
                            (effect, error) ->
                                    metrics.count(
                                            error == null
                                                    ? "jobs.snapshots"
                                                    : "jobs.snapshot-failures"));
        }
        return dueJobs.size();
    }

    private void runRoundSafely() {
        try {
            writeDueSnapshots(System.currentTimeMillis());
        } catch (RuntimeException e) {
            EventLog.event("job-snapshots-failed").error(e).error();
        }
    }
}
