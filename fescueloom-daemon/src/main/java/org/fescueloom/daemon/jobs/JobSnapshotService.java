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
 * Writes the state of jobs to the log again before the log drops the records that it came from.
 *
 * <p>Only the planner writes, a few jobs at a time. A snapshot that a later record has overtaken is
 * ignored by every reader, so a late one does no harm.
 */
public final class JobSnapshotService implements Service {
    /** The age at which the record of a job's state is written again, in milliseconds. */
    public static final long SNAPSHOT_AGE_MILLIS = 3_600_000L;

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
     * @param ledger keeps the jobs, not null
     * @param log writes job records, not null
     * @param planning tells whether this entry plans, not null
     * @param metrics counts snapshots, not null
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
     * Writes the jobs that are due, if this entry plans.
     *
     * @param nowMillis the time by which records count as old, in milliseconds since the epoch
     * @return how many snapshots were sent
     */
    int writeDueSnapshots(long nowMillis) {
        if (!planning.getAsBoolean()) {
            return 0;
        }
        long writtenBeforeMillis = nowMillis - SNAPSHOT_AGE_MILLIS;
        List<Job> due =
                ledger.read(
                        b ->
                                b.dueForSnapshot(writtenBeforeMillis).stream()
                                        .limit(MAX_SNAPSHOTS_PER_ROUND)
                                        .toList());
        for (Job job : due) {
            String recordId = "job-" + job.id() + "-" + job.changedAtOffset() + "-at-" + nowMillis;
            log.append(recordId, new JobSnapshot(job))
                    .whenComplete(
                            (effect, error) ->
                                    metrics.count(
                                            error == null
                                                    ? "jobs.snapshots"
                                                    : "jobs.snapshot-failures"));
        }
        return due.size();
    }

    private void runRoundSafely() {
        try {
            writeDueSnapshots(System.currentTimeMillis());
        } catch (RuntimeException e) {
            EventLog.event("job-snapshots-failed").error(e).error();
        }
    }
}
