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
 * Holds the request of a caller to submit or cancel a job.
 *
 * <p>A request names its job, so storing it again has no further effect.
 *
 * @param kind the kind of the request, not null
 * @param jobId the ID of the job, not null
 * @param submission the submission of the job; null for a cancellation
 */
record IntakeRequest(IntakeKind kind, String jobId, Submission submission) {
    /** The topic of the intake log, which every entry writes and the dispatcher follows. */
    private static final String TOPIC = "keyed.intake";

    private static final char SEPARATOR = '/';
    private static final byte[] CANCELLATION_VALUE = "{}".getBytes(StandardCharsets.UTF_8);

    /** Checks the values. */
    IntakeRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(jobId, "job");
        if ((kind == IntakeKind.SUBMISSION) != (submission != null)) {
            throw new IllegalArgumentException(
                    "kind "
                            + kind
                            + ": a submission must be present for SUBMISSION, and null otherwise");
        }
    }

    /**
     * Returns a partition of the intake log. A request may be in any partition, and in several.
     *
     * @param number the number of the partition, from 0
     */
    static LogPartition partition(int number) {
        return new LogPartition(TOPIC, number);
    }

    /** Creates a request to submit a job. */
    static IntakeRequest of(Submission submission) {
        return new IntakeRequest(IntakeKind.SUBMISSION, submission.id(), submission);
    }

    /** Creates a request to cancel a job. */
    static IntakeRequest cancellation(String jobId) {
        return new IntakeRequest(IntakeKind.CANCELLATION, jobId, null);
    }

    /**
     * Returns the key under which the request is stored.
     *
     * <p>Submissions with the same job ID but different content have different keys, so that none
     * of them replaces the first one before a dispatcher has read it.
     */
    String key() {
        return kind.key(submission == null ? jobId : jobId + SEPARATOR + digest(submission));
    }

    /**
     * Returns a checksum that is the same for each repetition of a submission; it leaves out the
     * time of the submission.
     */
    private static String digest(Submission submission) {
        Submission withoutTimestamp =
                new Submission(
                        submission.id(),
                        submission.queue(),
                        submission.customer(),
                        submission.service(),
                        0,
                        submission.work());
        CRC32 crc = new CRC32();
        crc.update(Json.write(withoutTimestamp));
        return Long.toHexString(crc.getValue());
    }

    /** Returns when the job was submitted, in milliseconds since 1970; 0 for a cancellation. */
    long submittedAtMillis() {
        return submission == null ? 0 : submission.acceptedAtMillis();
    }

    /** Returns the record to be stored for the request. */
    KeyedRecord toRecord() {
        return new KeyedRecord(
                key(), submission == null ? CANCELLATION_VALUE : Json.write(submission));
    }

    /**
     * Decodes a record, which an entry of another version may have written.
     *
     * @param keyedRecord the record
     * @return the request; empty for a tombstone, and for a record that this version cannot decode
     */
    static Optional<IntakeRequest> fromRecord(KeyedRecord keyedRecord) {
        if (keyedRecord.value().length == 0) {
            return Optional.empty();
        }
        Optional<IntakeKind> kind = IntakeKind.of(keyedRecord.key());
        if (kind.isEmpty()) {
            skippedEvent(keyedRecord).warn();
            return Optional.empty();
        }
        String suffix = kind.get().keySuffix(keyedRecord.key());
        if (kind.get() == IntakeKind.CANCELLATION) {
            return Optional.of(cancellation(suffix));
        }
        try {
            IntakeRequest request = of(Json.read(keyedRecord.value(), Submission.class));
            if (request.key().equals(keyedRecord.key())) {
                return Optional.of(request);
            }
            skippedEvent(keyedRecord).field("expected", request.key()).error();
        } catch (SchedulerException e) {
            skippedEvent(keyedRecord).error(e).error();
        }
        return Optional.empty();
    }

    private static EventLog skippedEvent(KeyedRecord keyedRecord) {
        return EventLog.event("record-skipped")
                .field("key", keyedRecord.key())
                .field("bytes", keyedRecord.value().length);
    }
}
