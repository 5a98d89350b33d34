package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the state of one job at one offset of the {@code jobs} stream.
 *
 * @param id the identifier of the job, not null
 * @param spec what the caller submitted, not null
 * @param acceptedAtMillis the time of acceptance, in milliseconds since the epoch
 * @param state the state, not null
 * @param attempts every placement, the latest last; null counts as none
 * @param resumeMillis how much of the run checkpoints hold, in milliseconds
 * @param reason why the job is in this state, for a person; null counts as empty
 * @param changedAtOffset the offset of the last record that changed the job
 * @param changedAtMillis the log's time of that record, in milliseconds since the epoch
 */
public record Job(
        String id,
        JobSpec spec,
        long acceptedAtMillis,
        JobState state,
        List<GangAttempt> attempts,
        long resumeMillis,
        String reason,
        long changedAtOffset,
        long changedAtMillis) {
    /** Checks the names and copies the attempts. */
    public Job {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(state, "state");
        attempts = attempts == null ? List.of() : List.copyOf(attempts);
        reason = reason == null ? "" : reason;
    }

    /**
     * Creates a job that waits for its first gang.
     *
     * @param accepted the record of its acceptance, not null
     * @param offset the offset of the record
     * @param timestampMillis the log's time of the record, in milliseconds since the epoch
     * @return the job, never null
     */
    public static Job accepted(JobAccepted accepted, long offset, long timestampMillis) {
        return new Job(
                accepted.job(),
                accepted.spec(),
                accepted.acceptedAtMillis(),
                JobState.WAITING,
                null,
                0L,
                null,
                offset,
                timestampMillis);
    }

    /**
     * Returns the attempt that has not ended.
     *
     * @return the attempt, or empty if no gang is placed
     */
    @JsonIgnore
    public Optional<GangAttempt> currentAttempt() {
        if (attempts.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(attempts.get(attempts.size() - 1)).filter(GangAttempt::isOpen);
    }

    /**
     * Returns the workers on which tasks of this job failed.
     *
     * @return the workers in order of the failures, never null
     */
    @JsonIgnore
    public Set<String> failedWorkers() {
        Set<String> workers = new LinkedHashSet<>();
        for (GangAttempt attempt : attempts) {
            if (!attempt.isOpen() && attempt.ended().result() == GangResult.FAILED) {
                workers.addAll(attempt.ended().workersAtFault());
            }
        }
        return workers;
    }

    /**
     * Tells whether an attempt of this name was ever placed for this job.
     *
     * @param attempt the name of the attempt, not null
     * @return whether it was
     */
    public boolean hasAttempt(String attempt) {
        return attempts.stream().anyMatch(a -> a.placed().attempt().equals(attempt));
    }

    /**
     * Returns the run time that is left by the caller's declaration.
     *
     * @return the time in milliseconds, at least 1
     */
    @JsonIgnore
    public long declaredRemainingMillis() {
        return Math.max(1L, spec.runSeconds() * 1_000L - resumeMillis);
    }

    Job withGang(GangPlaced placed, long offset, long timestampMillis) {
        List<GangAttempt> grown = new ArrayList<>(attempts);
        grown.add(new GangAttempt(placed, null));
        JobState next = state.next(JobEvent.GANG_PLACED).target();
        return changed(next, grown, resumeMillis, "", offset, timestampMillis);
    }

    Job withEnd(GangEnded end, JobState next, String why, long offset, long timestampMillis) {
        List<GangAttempt> closed = new ArrayList<>(attempts);
        int last = closed.size() - 1;
        closed.set(last, new GangAttempt(closed.get(last).placed(), end));
        long resume = Math.max(resumeMillis, end.checkpointMillis());
        return changed(next, closed, resume, why, offset, timestampMillis);
    }

    Job withCancellation(long offset, long timestampMillis) {
        JobState next = state.next(JobEvent.CANCEL_REQUESTED).target();
        String why = "cancelled by the caller";
        return changed(next, attempts, resumeMillis, why, offset, timestampMillis);
    }

    private Job changed(
            JobState next,
            List<GangAttempt> newAttempts,
            long resume,
            String why,
            long offset,
            long timestampMillis) {
        return new Job(
                id,
                spec,
                acceptedAtMillis,
                next,
                newAttempts,
                resume,
                why,
                offset,
                timestampMillis);
    }
}
