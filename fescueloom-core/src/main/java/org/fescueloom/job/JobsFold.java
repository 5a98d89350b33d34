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
 * <p>All processes that have applied the same records hold the same state. The rules:
 *
 * <ul>
 *   <li>Records are applied in order of their offsets; a record below the next expected offset is
 *       ignored.
 *   <li>The first acceptance of an identifier applies; later ones are ignored.
 *   <li>A placement applies if its epoch is not below the highest epoch seen, the job waits, and
 *       the attempt was not placed before.
 *   <li>The first end that names the current attempt applies.
 *   <li>A cancellation applies unless the job has ended. The end of a cancelled job's gang
 *       determines the final state: after a success the job has succeeded, after any other result
 *       it is cancelled.
 *   <li>A snapshot applies if no record has changed the job since the offset that the snapshot
 *       names; for an unknown job, if no record of the job was read after that offset.
 * </ul>
 *
 * <p>A record whose identifier is among the last {@value #REMEMBERED_IDS} is ignored, so a writer
 * may append a record again if the response was lost. An older repeat is ignored by the rules above
 * because of its content. Not thread-safe; the returned jobs are immutable.
 */
public final class JobsFold {
    /** The number of record identifiers that are kept to recognize repeated records. */
    private static final int REMEMBERED_IDS = 16_384;

    private final Map<String, Job> jobs = new LinkedHashMap<>();

    /** The log service's time of the last acceptance or snapshot record, by job. */
    private final Map<String, Long> storedAtMillisByJob = new HashMap<>();

    /** The offset of the last record that belongs to a job that is not in {@link #jobs}, by job. */
    private final Map<String, Long> lastOffsetByUnknownJob = new HashMap<>();

    private final Map<RecordEffect, Long> effectCounts = new EnumMap<>(RecordEffect.class);

    /** The identifiers of the last {@value #REMEMBERED_IDS} records, the oldest first. */
    private final Set<String> recentIds = new LinkedHashSet<>();

    private final FailureTracker failures = new FailureTracker();
    private long nextOffset;
    private long highestEpoch = -1L;

    /** Creates a fold without jobs; the first record may have any offset. */
    public JobsFold() {
        for (RecordEffect effect : RecordEffect.values()) {
            effectCounts.put(effect, 0L);
        }
    }

    /**
     * Applies one record.
     *
     * @param logRecord the record as the log service returned it, not null
     * @return the effect of the record, never null
     */
    public RecordEffect apply(LogRecord logRecord) {
        RecordEffect effect = RecordEffect.REPEATED;
        if (logRecord.offset() >= nextOffset) {
            nextOffset = logRecord.offset() + 1;
            if (isNewId(logRecord.id())) {
                effect =
                        JobRecordCodec.read(logRecord.payload())
                                .map(record -> applyRecord(record, logRecord))
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
     * @return the job, or empty if there is no job with this identifier
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
     * Returns the jobs that match a predicate.
     *
     * @param test the predicate, not null
     * @return the jobs in order of acceptance, never null
     */
    public List<Job> jobs(Predicate<Job> test) {
        return jobs.values().stream().filter(test).toList();
    }

    /**
     * Returns the tracker of failed jobs and workers.
     *
     * @return the tracker, never null
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
     * Returns the highest epoch of all applied records.
     *
     * @return the epoch; -1 before the first record with an epoch
     */
    public long highestEpoch() {
        return highestEpoch;
    }

    /**
     * Returns the number of records by effect.
     *
     * @return an unmodifiable view of the numbers, never null
     */
    public Map<RecordEffect, Long> effectCounts() {
        return Collections.unmodifiableMap(effectCounts);
    }

    /**
     * Returns the jobs whose last acceptance or snapshot record was stored before a time. The
     * caller appends a snapshot of each before that record expires.
     *
     * @param storedBeforeMillis the time, by the log service's timestamps, in milliseconds since
     *     the epoch
     * @return the jobs, never null
     */
    public List<Job> dueForSnapshot(long storedBeforeMillis) {
        return jobs(job -> storedAtMillisByJob.get(job.id()) < storedBeforeMillis);
    }

    /**
     * Removes the jobs that ended before a time. Their identifiers may be used again.
     *
     * @param finishedBeforeMillis the time, by the log service's timestamps, in milliseconds since
     *     the epoch
     */
    public void removeFinishedBefore(long finishedBeforeMillis) {
        jobs.values()
                .removeIf(
                        job ->
                                job.state().isFinal()
                                        && job.changedAtMillis() < finishedBeforeMillis);
        storedAtMillisByJob.keySet().retainAll(jobs.keySet());
    }

    private boolean isNewId(String id) {
        boolean isNew = recentIds.add(id);
        if (recentIds.size() > REMEMBERED_IDS) {
            Iterator<String> oldest = recentIds.iterator();
            oldest.next();
            oldest.remove();
        }
        return isNew;
    }

    private RecordEffect applyRecord(JobRecord record, LogRecord logRecord) {
        if (record instanceof JobAccepted accepted) {
            return applyAccepted(accepted, logRecord);
        }
        if (record instanceof GangPlaced placed) {
            return applyPlaced(placed, logRecord);
        }
        if (record instanceof GangEnded ended) {
            return applyEnded(ended, logRecord);
        }
        if (record instanceof JobCancelled cancelled) {
            return applyCancelled(cancelled, logRecord);
        }
        if (record instanceof JobSnapshot snapshot) {
            return applySnapshot(snapshot.job(), logRecord);
        }
        return applyPlannerStarted((PlannerStarted) record);
    }

    private RecordEffect applyAccepted(JobAccepted accepted, LogRecord logRecord) {
        Job known = jobs.get(accepted.job());
        if (known != null) {
            return known.spec().equals(accepted.spec())
                    ? RecordEffect.REPEATED
                    : RecordEffect.IDENTIFIER_REUSED;
        }
        storedAtMillisByJob.put(accepted.job(), logRecord.timestampMillis());
        return putJob(Job.accepted(accepted, logRecord.offset(), logRecord.timestampMillis()));
    }

    private RecordEffect applyPlannerStarted(PlannerStarted started) {
        if (started.epoch() <= highestEpoch) {
            return started.epoch() == highestEpoch
                    ? RecordEffect.REPEATED
                    : RecordEffect.STALE_EPOCH;
        }
        highestEpoch = started.epoch();
        return RecordEffect.APPLIED;
    }

    private RecordEffect applyPlaced(GangPlaced placed, LogRecord logRecord) {
        if (placed.epoch() < highestEpoch) {
            return RecordEffect.STALE_EPOCH;
        }
        highestEpoch = placed.epoch();
        Job job = jobs.get(placed.job());
        if (job == null) {
            return noteUnknownJob(placed.job(), logRecord);
        }
        if (job.hasAttempt(placed.attempt())) {
            return RecordEffect.REPEATED;
        }
        if (job.state().next(JobEvent.GANG_PLACED).ignored()) {
            return RecordEffect.NOT_WAITING;
        }
        return putJob(job.withGang(placed, logRecord.offset(), logRecord.timestampMillis()));
    }

    private RecordEffect applyEnded(GangEnded ended, LogRecord logRecord) {
        Job job = jobs.get(ended.job());
        if (job == null) {
            return noteUnknownJob(ended.job(), logRecord);
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
                        job.id(), ended.workersAtFault(), logRecord.timestampMillis())) {
            event = JobEvent.FAILURES_EXHAUSTED;
            reason = "failed on different workers or too often; last failure: " + reason;
        }
        JobState next = job.state().next(event).target();
        if (next.isFinal()) {
            failures.forgetJob(job.id());
        }
        return putJob(
                job.withEnd(ended, next, reason, logRecord.offset(), logRecord.timestampMillis()));
    }

    private RecordEffect applyCancelled(JobCancelled cancelled, LogRecord logRecord) {
        Job job = jobs.get(cancelled.job());
        if (job == null) {
            return noteUnknownJob(cancelled.job(), logRecord);
        }
        if (job.state().isFinal()) {
            return RecordEffect.ALREADY_FINISHED;
        }
        if (job.state().next(JobEvent.CANCEL_REQUESTED).ignored()) {
            return RecordEffect.REPEATED;
        }
        return putJob(job.withCancellation(logRecord.offset(), logRecord.timestampMillis()));
    }

    private RecordEffect applySnapshot(Job snapshot, LogRecord logRecord) {
        Job known = jobs.get(snapshot.id());
        long lastChange =
                known != null
                        ? known.changedAtOffset()
                        : lastOffsetByUnknownJob.getOrDefault(snapshot.id(), -1L);
        boolean current =
                known == null
                        ? lastChange <= snapshot.changedAtOffset()
                        : lastChange == snapshot.changedAtOffset();
        if (!current) {
            return RecordEffect.OUTDATED_SNAPSHOT;
        }
        storedAtMillisByJob.put(snapshot.id(), logRecord.timestampMillis());
        snapshot.attempts().forEach(a -> highestEpoch = Math.max(highestEpoch, a.placed().epoch()));
        return putJob(snapshot);
    }

    private RecordEffect noteUnknownJob(String job, LogRecord logRecord) {
        lastOffsetByUnknownJob.put(job, logRecord.offset());
        return RecordEffect.UNKNOWN_JOB;
    }

    private RecordEffect putJob(Job job) {
        jobs.put(job.id(), job);
        lastOffsetByUnknownJob.remove(job.id());
        return RecordEffect.APPLIED;
    }
}
