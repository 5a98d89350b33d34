package org.fescueloom.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.fescueloom.log.LogRecord;
import org.fescueloom.log.StreamFold;

/**
 * Folds the records of the stream "config" into the configuration that is in force.
 *
 * <p>The version is the offset of the change that is in force, so it never decreases. A change
 * takes effect if its base equals the version in force at its offset; every reader skips all other
 * changes. The same rule skips a repeated append, because the first copy has already replaced the
 * base. Record identifiers only serve writers to look up the verdict on their records. They do not
 * decide whether a change takes effect, because a reader that started late has not read all earlier
 * identifiers.
 *
 * <p>A snapshot repeats the state that results from all records below the offset in its field
 * {@code at}. It does not change the state of a reader that has read all records. A reader that
 * missed expired records buffers the records that it reads until it finds a snapshot that includes
 * all missed records. The reader then starts from the state of the snapshot and folds the buffered
 * records from the offset {@code at} on. The reader therefore reaches the same state even if the
 * snapshot was appended after a change that its writer had not read.
 */
public final class ConfigurationFold implements StreamFold {
    /** The maximum number of records whose verdicts are kept. */
    public static final int MAX_VERDICTS = 1_024;

    /** The maximum number of records that are buffered until a snapshot is found. */
    public static final int MAX_BUFFERED_RECORDS = 65_536;

    /** The verdicts on the latest records, by record identifier. */
    private final Map<String, RecordVerdict> verdicts = new LinkedHashMap<>();

    private final Map<RecordVerdict, Long> counts = new EnumMap<>(RecordVerdict.class);

    /** The records that were read since records were missed; empty while the fold is complete. */
    private final Deque<LogRecord> bufferedRecords = new ArrayDeque<>();

    private long nextOffset;

    /** The offset below which an adopted state must include every record. */
    private long firstBufferedOffset;

    private long version = ConfigurationRecord.NO_VERSION;
    private long lastSnapshotMillis = Long.MAX_VALUE;
    private long lastSnapshotOffset;
    private ConfigurationDocument document = ConfigurationDocument.EMPTY;
    private boolean complete = true;

    @Override
    public long nextOffset() {
        return nextOffset;
    }

    @Override
    public void skipTo(long first) {
        if (first <= nextOffset) {
            return;
        }
        nextOffset = first;
        firstBufferedOffset = first;
        complete = false;
        bufferedRecords.clear();
    }

    @Override
    public void apply(LogRecord record) {
        Objects.requireNonNull(record, "record");
        if (record.offset() < nextOffset) {
            return;
        }
        skipTo(record.offset());
        nextOffset = record.offset() + 1;
        if (complete) {
            fold(record);
        } else {
            bufferUntilSnapshot(record);
        }
    }

    /**
     * Adopts the state of another process.
     *
     * <p>The state changes only if
     *
     * <ul>
     *   <li>this fold has missed expired records,
     *   <li>the other process has folded all records that this fold has missed,
     *   <li>this fold has read all records that the other process has folded, except the missed
     *       ones, and
     *   <li>the given version is not older than the version of this fold.
     * </ul>
     *
     * @param foldedTo the offset below which the other process has folded every record
     * @param newVersion the version in force below that offset
     * @param newDocument the document of that version, not null
     * @return whether the state was adopted
     */
    public boolean adopt(long foldedTo, long newVersion, ConfigurationDocument newDocument) {
        Objects.requireNonNull(newDocument, "newDocument");
        if (complete
                || foldedTo < firstBufferedOffset
                || foldedTo > nextOffset
                || newVersion < version) {
            return false;
        }
        version = newVersion;
        document = newDocument;
        complete = true;
        // The log may contain no snapshot of the adopted state; 0 makes a new snapshot due.
        lastSnapshotMillis = 0L;
        List<LogRecord> pending = List.copyOf(bufferedRecords);
        bufferedRecords.clear();
        pending.stream().filter(r -> r.offset() >= foldedTo).forEach(this::fold);
        return true;
    }

    /**
     * Returns the version in force.
     *
     * @return the offset of the change that is in force, -1 before the first change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the document in force.
     *
     * @return the document, never null
     */
    public ConfigurationDocument document() {
        return document;
    }

    @Override
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns the time at which the last snapshot was appended, by the clock of the log service.
     *
     * @return the time in milliseconds since the epoch; the time of the first record if there is no
     *     snapshot; {@code Long.MAX_VALUE} before the first record; 0 if the state was adopted and
     *     no snapshot of it has been read
     */
    public long lastSnapshotMillis() {
        return lastSnapshotMillis;
    }

    /**
     * Returns the number of records from the last snapshot on, which a new process has to read.
     * Counts from offset 0 if there is no snapshot.
     *
     * @return the number of records, at least 0
     */
    public long recordsSinceSnapshot() {
        return nextOffset - lastSnapshotOffset;
    }

    /**
     * Finds the verdict on a recent record.
     *
     * @param recordId the identifier of the record, may be null
     * @return the verdict on the first copy of the record, or {@code ACCEPTED} if a later copy took
     *     effect; empty if the record has not been read or its verdict is no longer kept
     */
    public Optional<RecordVerdict> verdict(String recordId) {
        return Optional.ofNullable(verdicts.get(recordId));
    }

    /**
     * Returns the number of records with the given verdict.
     *
     * @param verdict the verdict, not null
     * @return the number of records
     */
    public long count(RecordVerdict verdict) {
        return counts.getOrDefault(Objects.requireNonNull(verdict, "verdict"), 0L);
    }

    private void bufferUntilSnapshot(LogRecord record) {
        bufferedRecords.addLast(record);
        if (bufferedRecords.size() > MAX_BUFFERED_RECORDS) {
            // The removed record counts as missed.
            firstBufferedOffset = bufferedRecords.removeFirst().offset() + 1;
        }
        ConfigurationRecord content = parse(record.payload());
        if (content != null && content.kind() == ConfigurationRecord.Kind.SNAPSHOT) {
            adopt(content.at(), content.base(), content.document());
        }
    }

    private void fold(LogRecord record) {
        // Before the first snapshot, the time of the first record is used.
        lastSnapshotMillis = Math.min(lastSnapshotMillis, record.timestampMillis());
        RecordVerdict verdict = evaluate(record);
        if (verdict != RecordVerdict.ACCEPTED && verdicts.containsKey(record.id())) {
            increment(RecordVerdict.REPEATED);
            return;
        }
        increment(verdict);
        verdicts.put(record.id(), verdict);
        if (verdicts.size() > MAX_VERDICTS) {
            verdicts.remove(verdicts.keySet().iterator().next());
        }
    }

    private RecordVerdict evaluate(LogRecord record) {
        ConfigurationRecord content = parse(record.payload());
        if (content == null) {
            return isUnknownFormat(record.payload())
                    ? RecordVerdict.UNKNOWN_FORMAT
                    : RecordVerdict.CORRUPT;
        }
        if (content.kind() == ConfigurationRecord.Kind.SNAPSHOT) {
            // A snapshot of another version does not contain the document in force.
            if (content.base() == version) {
                lastSnapshotMillis = record.timestampMillis();
                lastSnapshotOffset = record.offset();
            }
            return RecordVerdict.SNAPSHOT;
        }
        if (content.base() != version) {
            return RecordVerdict.CONFLICT;
        }
        version = record.offset();
        document = content.document();
        return RecordVerdict.ACCEPTED;
    }

    private void increment(RecordVerdict verdict) {
        counts.merge(verdict, 1L, Long::sum);
    }

    /**
     * Returns the content of a record, or null if its format is unknown or the record is corrupt.
     */
    private static ConfigurationRecord parse(JsonNode payload) {
        if (payload.path("format").asInt() != ConfigurationRecord.FORMAT) {
            return null;
        }
        try {
            return Json.convert(payload, ConfigurationRecord.class);
        } catch (SchedulerException e) {
            return null;
        }
    }

    private static boolean isUnknownFormat(JsonNode payload) {
        JsonNode format = payload.path("format");
        return format.isInt() && format.asInt() != ConfigurationRecord.FORMAT;
    }
}
