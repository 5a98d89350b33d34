package org.fescueloom.daemon.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.fescueloom.work.Submission;

/**
 * Holds what a caller has asked for and every entry may store.
 *
 * <p>An item names its job, so to store it again has no further effect.
 *
 * @param kind what is asked for, not null
 * @param job the identifier of the job, not null
 * @param submission the job; null for a cancellation
 */
record IntakeItem(IntakeKind kind, String job, Submission submission) {
    /** The log that every entry writes and the dispatcher follows. */
    static final String TOPIC = "keyed.intake";

    private static final byte[] CANCELLED = "{}".getBytes(StandardCharsets.UTF_8);

    /** Checks the values. */
    IntakeItem {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(job, "job");
        if ((kind == IntakeKind.SUBMISSION) != (submission != null)) {
            throw new IllegalArgumentException("a submission belongs to " + kind + " or not");
        }
    }

    /** Hands a job in. */
    static IntakeItem of(Submission submission) {
        return new IntakeItem(IntakeKind.SUBMISSION, submission.id(), submission);
    }

    /** Cancels a job. */
    static IntakeItem cancellation(String job) {
        return new IntakeItem(IntakeKind.CANCELLATION, job, null);
    }

    /** Returns the key under which the item is stored. */
    String key() {
        return kind.key(job);
    }

    /** Returns the record that is stored. */
    KeyedRecord encode() {
        return new KeyedRecord(key(), submission == null ? CANCELLED : Json.write(submission));
    }

    /**
     * Reads a record that any entry, also one of another version, may have written.
     *
     * @return the item; empty for a removal, and for a record that this version cannot read
     */
    static Optional<IntakeItem> decode(KeyedRecord stored) {
        if (stored.value().length == 0) {
            return Optional.empty();
        }
        Optional<IntakeKind> kind = IntakeKind.of(stored.key());
        if (kind.isEmpty()) {
            noteSkipped(stored).warn();
            return Optional.empty();
        }
        String job = kind.get().job(stored.key());
        if (kind.get() == IntakeKind.CANCELLATION) {
            return Optional.of(cancellation(job));
        }
        try {
            Submission submission = Json.read(stored.value(), Submission.class);
            if (submission.id().equals(job)) {
                return Optional.of(of(submission));
            }
            noteSkipped(stored).field("names", submission.id()).error();
        } catch (SchedulerException e) {
            noteSkipped(stored).error(e).error();
        }
        return Optional.empty();
    }

    private static EventLog noteSkipped(KeyedRecord stored) {
        return EventLog.event("record-skipped")
                .field("key", stored.key())
                .field("bytes", stored.value().length);
    }
}
