package org.fescueloom.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.AttemptState;

/**
 * Remembers what became of the attempts that reached one agent.
 *
 * <p>An attempt that is resolved before it started is cancelled for good: if it arrives later, it
 * is refused. Finished attempts are forgotten after a retention time; from then on every attempt of
 * the same issuer with the same or a lower sequence number counts as too old to start, and its fate
 * as unknown. So memory is bounded, and an attempt that was reported as not run never starts.
 *
 * <p>Not safe for use by several threads at once.
 */
public final class AttemptRegistry {
    private static final int MAX_ISSUERS = 1_000;

    private final long retentionNanos;
    private final long maxAnswerBytes;
    private final int maxFinished;
    private final Map<AttemptId, Entry> entries = new HashMap<>();
    private final Deque<Finished> finished = new ArrayDeque<>();
    private final Map<String, Long> forgotten = new LinkedHashMap<>();
    private final Deque<Entry> buffered = new ArrayDeque<>();
    private long answerBytes;

    /**
     * Creates an empty registry.
     *
     * @param retentionNanos how long a finished attempt is remembered, in nanoseconds; positive
     * @param maxAnswerBytes how many bytes of answers are kept; the oldest answers go first
     * @param maxFinished how many finished attempts are remembered; the oldest are forgotten first
     * @throws IllegalArgumentException if a bound is not positive
     */
    public AttemptRegistry(long retentionNanos, long maxAnswerBytes, int maxFinished) {
        if (retentionNanos <= 0 || maxAnswerBytes <= 0 || maxFinished <= 0) {
            throw new IllegalArgumentException("the bounds of a registry must be positive");
        }
        this.retentionNanos = retentionNanos;
        this.maxAnswerBytes = maxAnswerBytes;
        this.maxFinished = maxFinished;
    }

    /**
     * Takes in an attempt that has arrived and waits for a slot.
     *
     * @param id the attempt, not null
     * @throws SchedulerException with type {@code ATTEMPT_CANCELLED} if the attempt was cancelled
     *     or is too old to start; with type {@code OUTCOME_UNKNOWN} if it arrived before
     */
    public void accept(AttemptId id) {
        Entry known = entries.get(id);
        if (known == null && !isForgotten(id)) {
            entries.put(id, new Entry());
            return;
        }
        if (known == null || known.phase == Phase.CANCELLED) {
            throw new SchedulerException(
                    FailureType.ATTEMPT_CANCELLED,
                    "attempt " + id + " was cancelled or is too old");
        }
        throw new SchedulerException(
                FailureType.OUTCOME_UNKNOWN, "attempt " + id + " arrived before; resolve it");
    }

    /**
     * Marks a waiting attempt as sent to the upstream.
     *
     * @param id the attempt, not null
     * @return false if the attempt does not wait, for instance because it was cancelled
     */
    public boolean start(AttemptId id) {
        Entry entry = entries.get(id);
        if (entry == null || entry.phase != Phase.QUEUED) {
            return false;
        }
        entry.phase = Phase.RUNNING;
        return true;
    }

    /**
     * Keeps the answer of a running attempt.
     *
     * @param id the attempt, not null
     * @param answer the whole answer, not null
     * @param nowNanos the time
     * @return false if the attempt does not run
     */
    public boolean answer(AttemptId id, AttemptAnswer answer, long nowNanos) {
        Objects.requireNonNull(answer, "answer");
        Entry entry = finish(id, Phase.RUNNING, Phase.ANSWERED, nowNanos);
        if (entry == null) {
            return false;
        }
        entry.answer = answer;
        answerBytes += answer.body().length;
        buffered.addLast(entry);
        dropOldAnswers();
        return true;
    }

    /**
     * Records that a running attempt ended without a whole answer.
     *
     * @param id the attempt, not null
     * @param type the reason; its outcome says whether the attempt ran, not null
     * @param nowNanos the time
     * @return false if the attempt does not run
     */
    public boolean fail(AttemptId id, FailureType type, long nowNanos) {
        Phase phase =
                switch (type.outcome()) {
                    case NOT_RUN -> Phase.CANCELLED;
                    case RAN -> Phase.ANSWERED;
                    case UNKNOWN -> Phase.LOST;
                };
        Entry entry = finish(id, Phase.RUNNING, phase, nowNanos);
        if (entry != null) {
            entry.failure = type;
        }
        return entry != null;
    }

    /**
     * Cancels an attempt that waits or has not arrived, so that it never starts.
     *
     * @param id the attempt, not null
     * @param nowNanos the time
     * @return true if the attempt is cancelled now or was before
     */
    public boolean cancel(AttemptId id, long nowNanos) {
        return resolve(id, nowNanos).state() == AttemptState.CANCELLED;
    }

    /**
     * Makes the fate of an attempt definite as far as this process can: an attempt that has not
     * started is cancelled.
     *
     * @param id the attempt, not null
     * @param nowNanos the time
     * @return what is known, never null
     */
    public AttemptResolution resolve(AttemptId id, long nowNanos) {
        Entry entry = entries.get(id);
        if (entry == null && isForgotten(id)) {
            return AttemptResolution.of(AttemptState.UNKNOWN);
        }
        if (entry == null) {
            entry = new Entry();
            entries.put(id, entry);
        }
        if (entry.phase == Phase.QUEUED) {
            finish(id, Phase.QUEUED, Phase.CANCELLED, nowNanos);
        }
        return entry.resolution();
    }

    /**
     * Forgets attempts that finished longer ago than the retention time.
     *
     * @param nowNanos the time
     */
    public void expire(long nowNanos) {
        while (!finished.isEmpty()
                && (finished.size() > maxFinished
                        || nowNanos - finished.peekFirst().atNanos() > retentionNanos)) {
            forget(finished.removeFirst().id());
        }
    }

    /**
     * Returns how many bytes of answers are kept.
     *
     * @return the bytes, not negative
     */
    public long answerBytes() {
        return answerBytes;
    }

    /**
     * Returns how many attempts are remembered.
     *
     * @return the number, not negative
     */
    public int size() {
        return entries.size();
    }

    private Entry finish(AttemptId id, Phase from, Phase to, long nowNanos) {
        Entry entry = entries.get(id);
        if (entry == null || entry.phase != from) {
            return null;
        }
        entry.phase = to;
        finished.addLast(new Finished(id, nowNanos));
        expire(nowNanos);
        return entry;
    }

    private void dropOldAnswers() {
        while (answerBytes > maxAnswerBytes && buffered.size() > 1) {
            release(buffered.removeFirst());
        }
    }

    private void release(Entry entry) {
        if (entry.answer != null) {
            answerBytes -= entry.answer.body().length;
            entry.answer = null;
            entry.phase = Phase.LOST;
        }
    }

    private void forget(AttemptId id) {
        Entry entry = entries.remove(id);
        if (entry != null && entry.answer != null) {
            buffered.remove(entry);
            release(entry);
        }
        forgotten.merge(id.issuerIncarnation(), id.sequence(), Math::max);
        if (forgotten.size() > MAX_ISSUERS) {
            Iterator<String> oldest = forgotten.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private boolean isForgotten(AttemptId id) {
        Long highest = forgotten.get(id.issuerIncarnation());
        return highest != null && id.sequence() <= highest;
    }

    private enum Phase {
        QUEUED(AttemptState.CANCELLED),
        RUNNING(AttemptState.RUNNING),
        ANSWERED(AttemptState.ANSWERED),
        CANCELLED(AttemptState.CANCELLED),
        LOST(AttemptState.UNKNOWN);

        private final AttemptState state;

        Phase(AttemptState state) {
            this.state = state;
        }
    }

    private record Finished(AttemptId id, long atNanos) {}

    private static final class Entry {
        private Phase phase = Phase.QUEUED;
        private AttemptAnswer answer;
        private FailureType failure;

        private AttemptResolution resolution() {
            return new AttemptResolution(phase.state, answer, failure);
        }
    }
}
