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

/** Appends job records and tells what they did to the state. */
public final class JobStreamWriter {
    private static final long FOLD_TIMEOUT_MILLIS = 10_000L;

    private final LogClient log;
    private final JobLedger ledger;

    /**
     * Creates the writer of the {@code jobs} stream.
     *
     * @param log appends the records, not null
     * @param ledger follows the stream, not null
     */
    public JobStreamWriter(LogClient log, JobLedger ledger) {
        this.log = Objects.requireNonNull(log, "log");
        this.ledger = Objects.requireNonNull(ledger, "ledger");
    }

    /**
     * Appends a record and waits until this process has folded it.
     *
     * @param recordId the identifier of the record, not null; the same one for a repeat
     * @param record the record, not null
     * @return a future of what the record did; it fails with {@code LOG_UNAVAILABLE} or {@code
     *     LOG_UNDECIDED}
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
        boolean timedOut = failure.type() == FailureType.INTERNAL;
        return CompletableFuture.failedFuture(
                timedOut
                        ? new SchedulerException(
                                FailureType.LOG_UNDECIDED, "the record was not read back in time")
                        : failure);
    }
}
