package org.fescueloom.job;

import java.util.Collection;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueloom.log.LogRecord;

/**
 * Folds the {@code jobs} stream into the state of every job.
 *
 * <p>All processes that have applied the same records agree. The rules:
 *
 * <ul>
 *   <li>Records come in order of their offset; one below the next expected offset is ignored.
 *   <li>The first acceptance of an identifier counts; a later one with another body is ignored.
 *   <li>A placement counts if its epoch is not below the highest epoch seen, the job waits, and the
 *       attempt was never placed before.
 *   <li>An end counts if it names the current attempt; the first end counts.
 *   <li>A cancellation counts unless the job is over. The end of a cancelled job's gang decides:
 *       success stays success, anything else is a cancellation.
 *   <li>A snapshot counts if no record changed the job since the offset that it names.
 * </ul>
 *
 * <p>A record whose identifier was among the last {@value #REMEMBERED_IDS} is ignored, so a writer
 * may append again after a lost answer; after a longer time the rules ignore it by its content. Not
 * thread-safe; the jobs that it returns are immutable.
 */
public final class JobsFold {
    private static final int REMEMBERED_IDS = 16_384;

    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Long> writtenAtMillis = new HashMap<>();
    private final Map<String, Long> offsetsOfUnknown = new HashMap<>();
    private final Map<RecordEffect, Long> effectCounts = new EnumMap<>(RecordEffect.class);
    private final Set<String> recentIds = new LinkedHashSet<>();
    private final FailureTracker failures = new FailureTracker();
    private long nextOffset;
    private long highestEpoch = -1L;

    /** Creates a book without jobs that expects offset 0 or any later one. */
    public JobsFold() {
        for (RecordEffect effect : RecordEffect.values()) {
            effectCounts.put(effect, 0L);
        }
    }

    /**
     * Applies one record.
     *
     * @param entry the record as the log returns it, not null
     * @return what it did, never null
     */
    public RecordEffect apply(LogRecord entry) {
        RecordEffect effect = RecordEffect.REPEATED;
        if (entry.offset() >= nextOffset) {
            nextOffset = entry.offset() + 1;
            if (remember(entry.id())) {
                effect =
                        JobRecordCodec.read(entry.payload())
                                .map(record -> dispatch(record, entry))
                                .orElse(RecordEffect.UNREADABLE);
            }
        }
        effectCounts.merge(effect, 1L, Long::sum);
        return effect;
    }

    /**
     * Finds a job.
     *
     * @param id the identifier, not null
     * @return the job, or empty if none of this name is known
     */
    public Optional<Job> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Returns all jobs.
     *
     * @return the jobs in order of acceptance, never null
     */
    public Collection<Job> jobs() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    /**
     * Returns the jobs that pass a test.
     *
     * @param test the test, not null
     * @return the jobs in order of acceptance, never null
     */
    public List<Job> jobs(Predicate<Job> test) {
        return jobs.values().stream().filter(test).toList();
    }

    /**
     * Returns what failures tell about workers.
     *
     * @return the ledger, never null
     */
    public FailureTracker failures() {
        return failures;
    }

    /**
     * Returns the offset of the next record to apply.
     *
     * @return the offset, at least 0
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Returns the highest epoch that a record carried.
     *
     * @return the epoch, -1 before the first
     */
    public long highestEpoch() {
        return highestEpoch;
    }

    /**
     * Returns how many records had each effect.
     *
     * @return the counts, never null
     */
    public Map<RecordEffect, Long> effectCounts() {
        return Collections.unmodifiableMap(effectCounts);
    }

    /**
     * Returns the jobs whose whole state should be appended again before the log drops it.
     *
     * @param writtenBeforeMillis the log's time before which a state counts as old, in milliseconds
     *     since the epoch
     * @return the jobs, never null
     */
    public List<Job> dueForSnapshot(long writtenBeforeMillis) {
        return jobs(job -> writtenAtMillis.get(job.id()) < writtenBeforeMillis);
    }

    /**
     * Drops the jobs that were over before a time; their identifiers are free again.
     *
     * @param finishedBeforeMillis the log's time, in milliseconds since the epoch
     */
    public void removeFinishedBefore(long finishedBeforeMillis) {
        jobs.values()
                .removeIf(
                        job ->
                                job.state().isFinal()
                                        && job.changedAtMillis() < finishedBeforeMillis);
        writtenAtMillis.keySet().retainAll(jobs.keySet());
    }

    private boolean remember(String id) {
        boolean fresh = recentIds.add(id);
        if (recentIds.size() > REMEMBERED_IDS) {
            Iterator<String> oldest = recentIds.iterator();
            oldest.next();
            oldest.remove();
        }
        return fresh;
    }

    private RecordEffect dispatch(JobRecord record, LogRecord entry) {
        if (record instanceof JobAccepted accepted) {
            return accept(accepted, entry);
        }
        if (record instanceof GangPlaced placed) {
            return place(placed, entry);
        }
        if (record instanceof GangEnded ended) {
            return end(ended, entry);
        }
        if (record instanceof JobCancelled cancelled) {
            return cancel(cancelled, entry);
        }
        if (record instanceof JobSnapshot snapshot) {
            return restore(snapshot.job(), entry);
        }
        return start((PlannerStarted) record);
    }

    private RecordEffect accept(JobAccepted accepted, LogRecord entry) {
        Job known = jobs.get(accepted.job());
        if (known != null) {
            return known.spec().equals(accepted.spec())
                    ? RecordEffect.REPEATED
                    : RecordEffect.IDENTIFIER_REUSED;
        }
        writtenAtMillis.put(accepted.job(), entry.timestampMillis());
        return store(Job.accepted(accepted, entry.offset(), entry.timestampMillis()));
    }

    private RecordEffect start(PlannerStarted started) {
        if (started.epoch() <= highestEpoch) {
            return started.epoch() == highestEpoch
                    ? RecordEffect.REPEATED
                    : RecordEffect.STALE_EPOCH;
        }
        highestEpoch = started.epoch();
        return RecordEffect.APPLIED;
    }

    private RecordEffect place(GangPlaced placed, LogRecord entry) {
        if (placed.epoch() < highestEpoch) {
            return RecordEffect.STALE_EPOCH;
        }
        highestEpoch = placed.epoch();
        Job job = jobs.get(placed.job());
        if (job == null) {
            return unknown(placed.job(), entry);
        }
        if (job.hasAttempt(placed.attempt())) {
            return RecordEffect.REPEATED;
        }
        if (job.state().next(JobEvent.GANG_PLACED).ignored()) {
            return RecordEffect.NOT_WAITING;
        }
        return store(job.withGang(placed, entry.offset(), entry.timestampMillis()));
    }

    private RecordEffect end(GangEnded ended, LogRecord entry) {
        Job job = jobs.get(ended.job());
        if (job == null) {
            return unknown(ended.job(), entry);
        }
        Optional<GangPlaced> current = job.currentAttempt().map(GangAttempt::placed);
        if (current.isEmpty() || !current.get().attempt().equals(ended.attempt())) {
            return RecordEffect.NOT_CURRENT_ATTEMPT;
        }
        JobEvent event = ended.result().event();
        String reason = ended.reason();
        if (event == JobEvent.GANG_SUCCEEDED) {
            failures.recordSuccess(job.id(), current.get().workers());
        } else if (event == JobEvent.GANG_FAILED
                && failures.recordFailure(
                        job.id(), ended.workersAtFault(), entry.timestampMillis())) {
            event = JobEvent.FAILURES_EXHAUSTED;
            reason = "failed on different workers or too often; last: " + reason;
        }
        JobState next = job.state().next(event).target();
        if (next.isFinal()) {
            failures.forgetJob(job.id());
        }
        return store(job.withEnd(ended, next, reason, entry.offset(), entry.timestampMillis()));
    }

    private RecordEffect cancel(JobCancelled cancelled, LogRecord entry) {
        Job job = jobs.get(cancelled.job());
        if (job == null) {
            return unknown(cancelled.job(), entry);
        }
        if (job.state().isFinal()) {
            return RecordEffect.ALREADY_FINISHED;
        }
        if (job.state().next(JobEvent.CANCEL_REQUESTED).ignored()) {
            return RecordEffect.REPEATED;
        }
        return store(job.withCancellation(entry.offset(), entry.timestampMillis()));
    }

    private RecordEffect restore(Job state, LogRecord entry) {
        Job known = jobs.get(state.id());
        long lastChange =
                known != null
                        ? known.changedAtOffset()
                        : offsetsOfUnknown.getOrDefault(state.id(), -1L);
        boolean current =
                known == null
                        ? lastChange <= state.changedAtOffset()
                        : lastChange == state.changedAtOffset();
        if (!current) {
            return RecordEffect.OUTDATED_SNAPSHOT;
        }
        writtenAtMillis.put(state.id(), entry.timestampMillis());
        state.attempts().forEach(a -> highestEpoch = Math.max(highestEpoch, a.placed().epoch()));
        return store(state);
    }

    private RecordEffect unknown(String job, LogRecord entry) {
        offsetsOfUnknown.put(job, entry.offset());
        return RecordEffect.UNKNOWN_JOB;
    }

    private RecordEffect store(Job job) {
        jobs.put(job.id(), job);
        offsetsOfUnknown.remove(job.id());
        return RecordEffect.APPLIED;
    }
}
