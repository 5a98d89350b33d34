package org.fescueloom.daemon.jobs;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueloom.daemon.cluster.LogClient;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.Failures;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.job.JobRecord;
import org.fescueloom.job.JobRecordCodec;
import org.fescueloom.job.RecordEffect;
import org.fescueloom.log.NewRecord;

/**
 * Appends records to the {@code jobs} stream and returns the effect of each record on the job
 * state.
 */
public final class JobStreamWriter {
    /**
     * The maximum time from the append until this process has applied the record, in milliseconds.
     */
    private static final long FOLD_TIMEOUT_MILLIS = 10_000L;

    private final LogClient log;
    private final JobLedger ledger;

    /**
     * Creates a writer.
     *
     * @param log appends the records, not null
     * @param ledger applies the records that are read back from the stream, not null
     */
    public JobStreamWriter(LogClient log, JobLedger ledger) {
        this.log = Objects.requireNonNull(log, "log");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
    }

    /**
     * Appends a record. The future completes when this process has read the record back and applied
     * the record to its {@link JobLedger}.
     *
     * @param recordId the identifier of the record, not null; a repeated append of the same record
     *     uses the same identifier
     * @param record the record, not null
     * @return a future of the effect of the record; the future fails with {@code LOG_UNAVAILABLE}
     *     if the log service did not store the record, and with {@code LOG_UNDECIDED} if the
     *     outcome is unknown or this process did not apply the record in time
     */
    public CompletableFuture<RecordEffect> append(String recordId, JobRecord record) {
        CompletableFuture<RecordEffect> effect = ledger.futureEffect(recordId);
        log.append(JobRecordCodec.STREAM, new NewRecord(recordId, JobRecordCodec.write(record)))
                .whenComplete(
                        (offset, error) -> {
                            if (error != null) {
                                ledger.discardFuture(recordId);
                                effect.completeExceptionally(Failures.of(error));
                            }
                        });
        return effect.orTimeout(FOLD_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionallyCompose(error -> failedAppend(recordId, error));
    }

    private CompletableFuture<RecordEffect> failedAppend(String recordId, Throwable error) {
        ledger.discardFuture(recordId);
        SchedulerException failure = Failures.of(error);
        // The log client fails only with LOG_UNAVAILABLE or LOG_UNDECIDED, so INTERNAL stands for
        // the
        // time-out of the future.
        boolean timedOut = failure.type() == FailureType.INTERNAL;
        return CompletableFuture.failedFuture(
                timedOut
                        ? new SchedulerException(
                                FailureType.LOG_UNDECIDED,
                                "record not read back from the jobs stream within "
                                        + FOLD_TIMEOUT_MILLIS
                                        + " ms; the log service may have stored the record")
                        : failure);
    }
}
