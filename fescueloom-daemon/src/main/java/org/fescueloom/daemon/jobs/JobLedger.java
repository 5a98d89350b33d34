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
 * Keeps the job book of a process and tells others of its changes. Can be used by many threads.
 *
 * <p>The follower of the stream applies the records; everybody else reads. Jobs that are over are
 * forgotten by the time of the log, at the same record in every process.
 */
public final class JobLedger implements StreamFold {
    /** How long a job that is over is remembered, in milliseconds (one day). */
    public static final long FINISHED_RETENTION_MILLIS = 24L * 3_600 * 1_000;

    private final JobsFold fold = new JobsFold();
    private final Map<String, CompletableFuture<RecordEffect>> effectFutures =
            new ConcurrentHashMap<>();
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
        CompletableFuture<RecordEffect> waiter = effectFutures.remove(record.id());
        if (waiter != null) {
            waiter.complete(effect);
        }
    }

    /**
     * Returns a future of what a record does when it is applied; to be called before the append.
     *
     * @param recordId the identifier of the record, not null
     * @return the future, never null; the same one for the same identifier until it is complete
     */
    public CompletableFuture<RecordEffect> futureEffect(String recordId) {
        return effectFutures.computeIfAbsent(recordId, id -> new CompletableFuture<>());
    }

    /**
     * Drops the future of a record that will not be waited for any longer.
     *
     * @param recordId the identifier of the record, not null
     */
    public void discardFuture(String recordId) {
        effectFutures.remove(recordId);
    }

    /**
     * Reads something from the book while no record is applied.
     *
     * @param <T> what is read
     * @param reader reads it, not null; must not keep the book
     * @return what the reader returned
     */
    public synchronized <T> T read(Function<JobsFold, T> reader) {
        return reader.apply(fold);
    }

    /**
     * Finds a job.
     *
     * @param id the identifier, not null
     * @return the job, or empty if none of this name is known
     */
    public Optional<Job> job(String id) {
        return read(b -> b.job(id));
    }

    /**
     * Returns the jobs that pass a test.
     *
     * @param test the test, not null
     * @return the jobs in order of acceptance, never null
     */
    public List<Job> jobs(Predicate<Job> test) {
        return read(b -> b.jobs(test));
    }

    /**
     * Returns the gangs that are placed and have not ended.
     *
     * @return the placements, never null
     */
    public List<GangPlaced> openGangs() {
        List<GangPlaced> gangs = new ArrayList<>();
        for (Job job : jobs(j -> j.state().hasGang())) {
            job.currentAttempt().ifPresent(attempt -> gangs.add(attempt.placed()));
        }
        return gangs;
    }
}
