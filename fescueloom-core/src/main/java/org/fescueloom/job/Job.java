package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Holds the state of one gang job at one offset of the {@code jobs} stream. Immutable.
 *
 * @param id the identifier of the job, not null
 * @param spec the job as its caller submitted it, not null
 * @param acceptedAtMillis the time of acceptance, in milliseconds since the epoch
 * @param state the state of the job, not null
 * @param attempts all gang attempts, the latest last; null counts as none
 * @param resumeMillis the run time that checkpoints cover, in milliseconds
 * @param reason the reason of the state, for people; null counts as empty
 * @param changedAtOffset the offset of the last record that changed the job
 * @param changedAtMillis the time that the log service gave that record, in milliseconds since the
 *     epoch
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
    /** Checks the required components and copies the attempts. */
    public Job {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(state, "state");
        attempts = attempts == null ? List.of() : List.copyOf(attempts);
        reason = reason == null ? "" : reason;
    }

    /**
     * Creates a job that waits for its first placement.
     *
     * @param accepted the record of the job's acceptance, not null
     * @param offset the offset of the record
     * @param timestampMillis the time that the log service gave the record, in milliseconds since
     *     the epoch
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
     * Returns the workers on which tasks of this job have failed.
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
     * Tells whether this job has or had a given gang attempt.
     *
     * @param attempt the identifier of the gang attempt, not null
     * @return whether one of the attempts has this identifier
     */
    public boolean hasAttempt(String attempt) {
        return attempts.stream().anyMatch(a -> a.placed().attempt().equals(attempt));
    }

    /**
     * Returns the declared run time that is not covered by checkpoints.
     *
     * @return the time in milliseconds, at least 1
     */
    @JsonIgnore
    public long declaredRemainingMillis() {
        return Math.max(1L, spec.runSeconds() * 1_000L - resumeMillis);
    }

    Job withGang(GangPlaced placed, long offset, long timestampMillis) {
        List<GangAttempt> newAttempts = new ArrayList<>(attempts);
        newAttempts.add(new GangAttempt(placed, null));
        JobState next = state.next(JobEvent.GANG_PLACED).target();
        return withChange(next, newAttempts, resumeMillis, "", offset, timestampMillis);
    }

    Job withEnd(GangEnded end, JobState next, String newReason, long offset, long timestampMillis) {
        List<GangAttempt> newAttempts = new ArrayList<>(attempts);
        int last = newAttempts.size() - 1;
        newAttempts.set(last, new GangAttempt(newAttempts.get(last).placed(), end));
        long resume = Math.max(resumeMillis, end.checkpointMillis());
        return withChange(next, newAttempts, resume, newReason, offset, timestampMillis);
    }

    Job withCancellation(long offset, long timestampMillis) {
        JobState next = state.next(JobEvent.CANCEL_REQUESTED).target();
        String newReason = "cancelled by the caller";
        return withChange(next, attempts, resumeMillis, newReason, offset, timestampMillis);
    }

    private Job withChange(
            JobState next,
            List<GangAttempt> newAttempts,
            long resume,
            String newReason,
            long offset,
            long timestampMillis) {
        return new Job(
                id,
                spec,
                acceptedAtMillis,
                next,
                newAttempts,
                resume,
                newReason,
                offset,
                timestampMillis);
    }
}
