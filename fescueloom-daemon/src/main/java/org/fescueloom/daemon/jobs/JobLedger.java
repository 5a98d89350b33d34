package org.fescueloom.daemon.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.job.Job;
import org.fescueloom.job.JobsFold;
import org.fescueloom.job.RecordEffect;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.StreamFold;

/**
 * Holds the gang jobs of a process, folded from the {@code jobs} stream, and reports the effect of
 * each applied record. Safe for use by several threads.
 *
 * <p>Only the follower of the stream applies records; all other threads read. A finished job is
 * removed when a record is applied whose timestamp is more than {@link #FINISHED_RETENTION_MILLIS}
 * after the end of the job, so every process removes the job at the same record.
 */
public final class JobLedger implements StreamFold {
    /** The time for which a finished job is kept, in milliseconds (one day). */
    public static final long FINISHED_RETENTION_MILLIS = 24L * 3_600 * 1_000;

    private final JobsFold fold = new JobsFold();
    private final Map<String, CompletableFuture<RecordEffect>> effectFutures =
            new ConcurrentHashMap<>();

    /** The lowest offset that the stream still had at the last call of {@link #skipTo}. */
    private long minNextOffset;

    /** Creates a ledger without jobs. */
    public JobLedger() {}

    @Override
    public synchronized long nextOffset() {
        return Math.max(fold.nextOffset(), minNextOffset);
    }

    @Override
    public synchronized void skipTo(long first) {
        minNextOffset = Math.max(minNextOffset, first);
    }

    @Override
    public void apply(LogRecord record) {
        Objects.requireNonNull(record, "record");
        RecordEffect effect;
        synchronized (this) {
            if (record.offset() < nextOffset()) {
                return;
            }
            effect = fold.apply(record);
            fold.removeFinishedBefore(record.timestampMillis() - FINISHED_RETENTION_MILLIS);
        }
        CompletableFuture<RecordEffect> effectFuture = effectFutures.remove(record.id());
        if (effectFuture != null) {
            effectFuture.complete(effect);
        }
    }

    /**
     * Returns a future that completes with the effect of a record when the record is applied. Call
     * this method before the record is appended; otherwise the record may be applied first, and the
     * future never completes.
     *
     * @param recordId the identifier of the record, not null
     * @return the future, never null; calls with the same identifier return the same future until
     *     it completes or is discarded
     */
    public CompletableFuture<RecordEffect> futureEffect(String recordId) {
        return effectFutures.computeIfAbsent(recordId, id -> new CompletableFuture<>());
    }

    /**
     * Discards the future of a record. Call this method when no thread waits for the effect any
     * longer.
     *
     * @param recordId the identifier of the record, not null
     */
    public void discardFuture(String recordId) {
        effectFutures.remove(recordId);
    }

    /**
     * Reads from the fold while no record is applied.
     *
     * @param <T> the type of the result
     * @param reader reads from the fold, not null; must not keep a reference to the fold
     * @return the result of the reader
     */
    public synchronized <T> T read(Function<JobsFold, T> reader) {
        return reader.apply(fold);
    }

    /**
     * Finds a job by its identifier.
     *
     * @param id the identifier, not null
     * @return the job, or empty if no job with this identifier is known
     */
    public Optional<Job> job(String id) {
        return read(f -> f.job(id));
    }

    /**
     * Returns the jobs that match a condition.
     *
     * @param test the condition, not null
     * @return the jobs in order of acceptance, never null
     */
    public List<Job> jobs(Predicate<Job> test) {
        return read(f -> f.jobs(test));
    }

    /**
     * Returns the gangs that are placed and have not ended.
     *
     * @return the placements, never null
     */
    public List<GangPlaced> openGangs() {
        List<GangPlaced> gangs = new ArrayList<>();
        for (Job job : jobs(candidate -> candidate.state().hasGang())) {
            job.currentAttempt().ifPresent(attempt -> gangs.add(attempt.placed()));
        }
        return gangs;
    }
}
