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
    private static final StateChart<AttemptPhase, AttemptEvent, AttemptAction> CHART =
            StateChart.load("attempt", AttemptPhase.class, AttemptEvent.class, AttemptAction.class);
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
            Entry entry = new Entry();
            entry.phase = CHART.next(entry.phase, AttemptEvent.ARRIVED).target();
            entries.put(id, entry);
            return;
        }
        if (known == null || known.phase == AttemptPhase.CANCELLED) {
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
     * @param nowNanos the time
     * @return false if the attempt does not wait, for instance because it was cancelled
     */
    public boolean start(AttemptId id, long nowNanos) {
        return entries.containsKey(id) && apply(id, AttemptEvent.SLOT_GRANTED, nowNanos) != null;
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
        Entry entry = apply(id, AttemptEvent.WHOLE_ANSWER, nowNanos);
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
        AttemptEvent event =
                switch (type.outcome()) {
                    case NOT_RUN -> AttemptEvent.CONNECTION_REFUSED;
                    case RAN -> AttemptEvent.INVALID_ANSWER;
                    case UNKNOWN -> AttemptEvent.UPSTREAM_LOST;
                };
        Entry entry = apply(id, event, nowNanos);
        if (entry != null) {
            entry.failure = type;
        }
        return entry != null;
    }

    /**
     * Cancels an attempt that waits or has not arrived, so that it never starts.
     *
     * @param id the attempt, not null
     * @param reason the event that is the reason, not null
     * @param nowNanos the time
     * @return true if the attempt is cancelled now or was before
     */
    public boolean cancel(AttemptId id, AttemptEvent reason, long nowNanos) {
        apply(id, reason, nowNanos);
        Entry entry = entries.get(id);
        return entry != null && entry.phase == AttemptPhase.CANCELLED;
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
        apply(id, AttemptEvent.RESOLVE_REQUESTED, nowNanos);
        Entry entry = entries.get(id);
        return entry == null ? AttemptResolution.of(AttemptState.UNKNOWN) : entry.resolution();
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

    private Entry apply(AttemptId id, AttemptEvent event, long nowNanos) {
        Entry entry = entries.get(id);
        if (entry == null && isForgotten(id)) {
            return null;
        }
        AttemptPhase from = entry == null ? CHART.initial() : entry.phase;
        Transition<AttemptPhase, AttemptAction> transition = CHART.next(from, event);
        if (transition.ignored()) {
            return null;
        }
        Entry changed = entry == null ? new Entry() : entry;
        changed.phase = transition.target();
        entries.put(id, changed);
        if (CHART.isTerminal(changed.phase)) {
            finished.addLast(new Finished(id, nowNanos));
            expire(nowNanos);
        }
        return changed;
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
            entry.phase = AttemptPhase.UNKNOWN;
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

    private record Finished(AttemptId id, long atNanos) {}

    private static final class Entry {
        private AttemptPhase phase = CHART.initial();
        private AttemptAnswer answer;
        private FailureType failure;

        private AttemptResolution resolution() {
            return new AttemptResolution(phase.resolvedState(), answer, failure);
        }
    }
}
