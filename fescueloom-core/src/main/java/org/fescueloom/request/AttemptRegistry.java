package org.fescueloom.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.fescueloom.chart.StateChart;
import org.fescueloom.chart.Transition;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.AttemptState;

/**
 * Tracks the states of the attempts at one agent.
 *
 * <p>An attempt that is resolved before it has started is cancelled permanently: if it arrives
 * later, it is refused. Finished attempts are removed after a retention time. From then on every
 * attempt of the same incarnation of the issuer with the same or a lower sequence number counts as
 * too old to start, and its outcome as unknown. Memory use is therefore bounded, and an attempt
 * that was reported as not run never starts.
 *
 * <p>Not thread-safe.
 */
public final class AttemptRegistry {
    private static final StateChart<AttemptPhase, AttemptEvent, AttemptAction> CHART =
            StateChart.load("attempt", AttemptPhase.class, AttemptEvent.class, AttemptAction.class);

    /**
     * The maximum number of issuer incarnations in {@link #highestRemovedSequence}; beyond this
     * number, the one that was added first is removed.
     */
    private static final int MAX_ISSUER_INCARNATIONS = 1_000;

    private final long retentionNanos;
    private final long maxAnswerBytes;
    private final int maxFinished;
    private final Map<AttemptId, TrackedAttempt> attempts = new HashMap<>();
    private final Deque<FinishedAttempt> finished = new ArrayDeque<>();

    /** The highest sequence number of a removed attempt, by issuer incarnation. */
    private final Map<String, Long> highestRemovedSequence = new LinkedHashMap<>();

    private final Deque<TrackedAttempt> attemptsWithResponse = new ArrayDeque<>();
    private long answerBytes;

    /**
     * Creates an empty registry.
     *
     * @param retentionNanos the time for which a finished attempt is kept, in nanoseconds; positive
     * @param maxAnswerBytes the maximum total size of the stored response bodies, in bytes; the
     *     oldest responses are dropped first; positive
     * @param maxFinished the maximum number of finished attempts that are kept; the oldest are
     *     removed first; positive
     * @throws IllegalArgumentException if a bound is not positive
     */
    public AttemptRegistry(long retentionNanos, long maxAnswerBytes, int maxFinished) {
        if (retentionNanos <= 0 || maxAnswerBytes <= 0 || maxFinished <= 0) {
            throw new IllegalArgumentException(
                    "retentionNanos, maxAnswerBytes and maxFinished must be positive: "
                            + retentionNanos
                            + ", "
                            + maxAnswerBytes
                            + ", "
                            + maxFinished);
        }
        this.retentionNanos = retentionNanos;
        this.maxAnswerBytes = maxAnswerBytes;
        this.maxFinished = maxFinished;
    }

    /**
     * Registers an attempt that has arrived and waits for a slot.
     *
     * @param id the attempt, not null
     * @throws SchedulerException with type {@code ATTEMPT_CANCELLED} if the attempt was cancelled
     *     or is too old to start; with type {@code OUTCOME_UNKNOWN} if the attempt arrived before
     */
    public void accept(AttemptId id) {
        TrackedAttempt known = attempts.get(id);
        if (known == null && !isTooOld(id)) {
            TrackedAttempt attempt = new TrackedAttempt();
            attempt.phase = CHART.next(attempt.phase, AttemptEvent.ARRIVED).target();
            attempts.put(id, attempt);
            return;
        }
        if (known == null || known.phase == AttemptPhase.CANCELLED) {
            throw new SchedulerException(
                    FailureType.ATTEMPT_CANCELLED,
                    "attempt " + id + " was cancelled or is too old");
        }
        throw new SchedulerException(
                FailureType.OUTCOME_UNKNOWN,
                "attempt " + id + " arrived before; resolve it to get its outcome");
    }

    /**
     * Marks a waiting attempt as sent to the upstream.
     *
     * @param id the attempt, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return false if the attempt is not waiting, for instance because it was cancelled
     */
    public boolean start(AttemptId id, long nowNanos) {
        return attempts.containsKey(id) && apply(id, AttemptEvent.SLOT_GRANTED, nowNanos) != null;
    }

    /**
     * Stores the response to a running attempt.
     *
     * @param id the attempt, not null
     * @param answer the complete response, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return false if the attempt is not running
     */
    public boolean answer(AttemptId id, AttemptAnswer answer, long nowNanos) {
        Objects.requireNonNull(answer, "answer");
        TrackedAttempt attempt = apply(id, AttemptEvent.WHOLE_ANSWER, nowNanos);
        if (attempt == null) {
            return false;
        }
        attempt.answer = answer;
        answerBytes += answer.body().length;
        attemptsWithResponse.addLast(attempt);
        dropOldAnswers();
        return true;
    }

    /**
     * Records that a running attempt ended without a complete response.
     *
     * @param id the attempt, not null
     * @param type the failure type, not null; its outcome tells whether the attempt ran
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return false if the attempt is not running
     */
    public boolean fail(AttemptId id, FailureType type, long nowNanos) {
        AttemptEvent event =
                switch (type.outcome()) {
                    case NOT_RUN -> AttemptEvent.CONNECTION_REFUSED;
                    case RAN -> AttemptEvent.INVALID_ANSWER;
                    case UNKNOWN -> AttemptEvent.UPSTREAM_LOST;
                };
        TrackedAttempt attempt = apply(id, event, nowNanos);
        if (attempt != null) {
            attempt.failure = type;
        }
        return attempt != null;
    }

    /**
     * Cancels an attempt that is waiting or has not arrived, so that the attempt never starts.
     *
     * @param id the attempt, not null
     * @param reason the event that causes the cancellation, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return true if the attempt is cancelled after this call
     */
    public boolean cancel(AttemptId id, AttemptEvent reason, long nowNanos) {
        apply(id, reason, nowNanos);
        TrackedAttempt attempt = attempts.get(id);
        return attempt != null && attempt.phase == AttemptPhase.CANCELLED;
    }

    /**
     * Returns the outcome of an attempt as far as this agent knows it, and cancels the attempt if
     * it has not started.
     *
     * @param id the attempt, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the state of the attempt with its response or failure, never null; the state is
     *     {@code UNKNOWN} if the attempt is no longer tracked
     */
    public AttemptResolution resolve(AttemptId id, long nowNanos) {
        apply(id, AttemptEvent.RESOLVE_REQUESTED, nowNanos);
        TrackedAttempt attempt = attempts.get(id);
        return attempt == null ? AttemptResolution.of(AttemptState.UNKNOWN) : attempt.resolution();
    }

    /**
     * Removes the attempts that finished longer ago than the retention time, and the oldest
     * finished attempts beyond the maximum number.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void expire(long nowNanos) {
        while (!finished.isEmpty()
                && (finished.size() > maxFinished
                        || nowNanos - finished.peekFirst().finishedAtNanos() > retentionNanos)) {
            remove(finished.removeFirst().id());
        }
    }

    /**
     * Returns the total size of the stored response bodies.
     *
     * @return the size in bytes, not negative
     */
    public long answerBytes() {
        return answerBytes;
    }

    /**
     * Returns the number of tracked attempts, including finished ones.
     *
     * @return the number, not negative
     */
    public int size() {
        return attempts.size();
    }

    /**
     * Applies an event to an attempt, which may not have arrived yet.
     *
     * @return the attempt; null if its state ignores the event or the attempt is too old
     */
    private TrackedAttempt apply(AttemptId id, AttemptEvent event, long nowNanos) {
        TrackedAttempt known = attempts.get(id);
        if (known == null && isTooOld(id)) {
            return null;
        }
        AttemptPhase from = known == null ? CHART.initial() : known.phase;
        Transition<AttemptPhase, AttemptAction> transition = CHART.next(from, event);
        if (transition.ignored()) {
            return null;
        }
        TrackedAttempt attempt = known == null ? new TrackedAttempt() : known;
        attempt.phase = transition.target();
        attempts.put(id, attempt);
        if (CHART.isTerminal(attempt.phase)) {
            finished.addLast(new FinishedAttempt(id, nowNanos));
            expire(nowNanos);
        }
        return attempt;
    }

    private void dropOldAnswers() {
        // The latest response is kept even if it exceeds the limit alone.
        while (answerBytes > maxAnswerBytes && attemptsWithResponse.size() > 1) {
            dropAnswer(attemptsWithResponse.removeFirst());
        }
    }

    private void dropAnswer(TrackedAttempt attempt) {
        if (attempt.answer != null) {
            answerBytes -= attempt.answer.body().length;
            attempt.answer = null;
            // Without its response the attempt can only be reported as one that may have run.
            attempt.phase = AttemptPhase.UNKNOWN;
        }
    }

    private void remove(AttemptId id) {
        TrackedAttempt attempt = attempts.remove(id);
        if (attempt != null && attempt.answer != null) {
            attemptsWithResponse.remove(attempt);
            dropAnswer(attempt);
        }
        highestRemovedSequence.merge(id.issuerIncarnation(), id.sequence(), Math::max);
        if (highestRemovedSequence.size() > MAX_ISSUER_INCARNATIONS) {
            Iterator<String> oldest = highestRemovedSequence.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private boolean isTooOld(AttemptId id) {
        Long highest = highestRemovedSequence.get(id.issuerIncarnation());
        return highest != null && id.sequence() <= highest;
    }

    private record FinishedAttempt(AttemptId id, long finishedAtNanos) {}

    private static final class TrackedAttempt {
        private AttemptPhase phase = CHART.initial();
        private AttemptAnswer answer;
        private FailureType failure;

        private AttemptResolution resolution() {
            return new AttemptResolution(phase.resolvedState(), answer, failure);
        }
    }
}
