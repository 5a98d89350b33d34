package org.fescueloom.daemon.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import java.util.zip.CRC32;
import org.fescueloom.daemon.logging.EventLog;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.fescueloom.work.Submission;

/**
 * Holds the call of a client that hands in or cancels a job.
 *
 * <p>An item names its job, so storing it again has no further effect.
 *
 * @param kind what is asked for, not null
 * @param jobId the identifier of the job, not null
 * @param submission the job; null for a cancellation
 */
record IntakeRequest(IntakeKind kind, String jobId, Submission submission) {
    /** The log that every entry writes and the dispatcher follows. */
    static final String TOPIC = "keyed.intake";

    private static final char SEPARATOR = '/';
    private static final byte[] CANCELLED = "{}".getBytes(StandardCharsets.UTF_8);

    /** Checks the values. */
    IntakeRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(jobId, "job");
        if ((kind == IntakeKind.SUBMISSION) != (submission != null)) {
            throw new IllegalArgumentException("a submission belongs to " + kind + " or not");
        }
    }

    /** Hands a job in. */
    static IntakeRequest of(Submission submission) {
        return new IntakeRequest(IntakeKind.SUBMISSION, submission.id(), submission);
    }

    /** Cancels a job. */
    static IntakeRequest cancellation(String job) {
        return new IntakeRequest(IntakeKind.CANCELLATION, job, null);
    }

    /**
     * Returns the key under which the item is stored.
     *
     * <p>Submissions of one identifier with another content have other keys, so that none of them
     * replaces the first one before a dispatcher has read it.
     */
    String key() {
        return kind.key(submission == null ? jobId : jobId + SEPARATOR + digest(submission));
    }

    /** Returns a short text that is the same for each repeat of a call. */
    private static String digest(Submission submission) {
        Submission timeless =
                new Submission(
                        submission.id(),
                        submission.queue(),
                        submission.customer(),
                        submission.service(),
                        0,
                        submission.work());
        CRC32 crc = new CRC32();
        crc.update(Json.write(timeless));
        return Long.toHexString(crc.getValue());
    }

    /** Returns when the job was handed in, in milliseconds since 1970; 0 for a cancellation. */
    long submittedAtMillis() {
        return submission == null ? 0 : submission.acceptedAtMillis();
    }

    /** Returns the record that is stored. */
    KeyedRecord toRecord() {
        return new KeyedRecord(key(), submission == null ? CANCELLED : Json.write(submission));
    }

    /**
     * Reads a record that any entry, also one of another version, may have written.
     *
     * @return the item; empty for a removal, and for a record that this version cannot read
     */
    static Optional<IntakeRequest> fromRecord(KeyedRecord stored) {
        if (stored.value().length == 0) {
            return Optional.empty();
        }
        Optional<IntakeKind> kind = IntakeKind.of(stored.key());
        if (kind.isEmpty()) {
            noteSkipped(stored).warn();
            return Optional.empty();
        }
        String rest = kind.get().keySuffix(stored.key());
        if (kind.get() == IntakeKind.CANCELLATION) {
            return Optional.of(cancellation(rest));
        }
        try {
            IntakeRequest item = of(Json.read(stored.value(), Submission.class));
            if (item.key().equals(stored.key())) {
                return Optional.of(item);
            }
            noteSkipped(stored).field("expected", item.key()).error();
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
