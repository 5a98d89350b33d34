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
 * Folds the stream "config" into the configuration in force.
 *
 * <p>The version is the offset of the change that is in force, so it only grows. A change takes
 * effect if its base is the current version at its offset; every reader skips every other one. A
 * repeated append is skipped by the same rule, since its base has been replaced by then. Record
 * identifiers only tell writers what became of their records: a reader that started late has not
 * seen all of them, so they must not decide.
 *
 * <p>A snapshot restates the state below an offset. A reader that has this state already ignores
 * it. A reader that lost records to expiry keeps the records that it reads, starts from the first
 * snapshot whose offset it has not missed, and folds the kept records from there: so it comes to
 * the same state even if the snapshot was appended after a change that its writer had not seen.
 */
public final class ConfigurationFold implements StreamFold {
    /** How many records a reader remembers the verdicts of. */
    public static final int MAX_VERDICTS = 1_024;

    /** How many records a reader without state keeps while it looks for a snapshot. */
    public static final int MAX_BUFFERED_RECORDS = 65_536;

    private final Map<String, RecordVerdict> verdicts = new LinkedHashMap<>();
    private final Map<RecordVerdict, Long> counts = new EnumMap<>(RecordVerdict.class);
    private final Deque<LogRecord> kept = new ArrayDeque<>();
    private long next;
    private long firstRead;
    private long version = ConfigurationRecord.NO_VERSION;
    private long lastSnapshotMillis = Long.MAX_VALUE;
    private long coveredOffset;
    private ConfigurationDocument document = ConfigurationDocument.EMPTY;
    private boolean complete = true;

    @Override
    public long nextOffset() {
        return next;
    }

    @Override
    public void skipTo(long first) {
        if (first <= next) {
            return;
        }
        next = first;
        firstRead = first;
        complete = false;
        kept.clear();
    }

    @Override
    public void apply(LogRecord record) {
        Objects.requireNonNull(record, "record");
        if (record.offset() < next) {
            return;
        }
        skipTo(record.offset());
        next = record.offset() + 1;
        if (complete) {
            fold(record);
        } else {
            foldWithoutState(record);
        }
    }

    /**
     * Takes over the state of another process.
     *
     * <p>Nothing changes unless records have expired unread and the other process has folded every
     * record that this one missed.
     *
     * @param at the offset below which the other process has folded every record
     * @param newVersion the version in force below that offset
     * @param newDocument the document of that version, not null
     * @return whether the state was taken over
     */
    public boolean adopt(long at, long newVersion, ConfigurationDocument newDocument) {
        Objects.requireNonNull(newDocument, "newDocument");
        if (complete || at < firstRead || at > next || newVersion < version) {
            return false;
        }
        version = newVersion;
        document = newDocument;
        complete = true;
        lastSnapshotMillis = 0L;
        List<LogRecord> pending = List.copyOf(kept);
        kept.clear();
        pending.stream().filter(r -> r.offset() >= at).forEach(this::fold);
        return true;
    }

    /**
     * Returns the version in force.
     *
     * @return the offset of the change, -1 before the first one
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
     * Returns when the last snapshot was appended, by the clock of the log.
     *
     * @return the time in milliseconds since the epoch; without a snapshot the time of the first
     *     record; {@code Long.MAX_VALUE} before the first record; 0 if the state was taken over and
     *     the log does not hold it
     */
    public long lastSnapshotMillis() {
        return lastSnapshotMillis;
    }

    /**
     * Returns how many records a fresh process has to read beyond the last snapshot.
     *
     * @return the number of records, at least 0
     */
    public long recordsSinceSnapshot() {
        return next - coveredOffset;
    }

    /**
     * Finds what became of a recent record.
     *
     * @param recordId the identifier of the record, may be null
     * @return the verdict on its first copy; empty if it was not read or is long past
     */
    public Optional<RecordVerdict> verdict(String recordId) {
        return Optional.ofNullable(verdicts.get(recordId));
    }

    /**
     * Counts the records with a verdict.
     *
     * @param verdict the verdict, not null
     * @return how many records were read with it
     */
    public long count(RecordVerdict verdict) {
        return counts.getOrDefault(Objects.requireNonNull(verdict, "verdict"), 0L);
    }

    private void foldWithoutState(LogRecord record) {
        kept.addLast(record);
        if (kept.size() > MAX_BUFFERED_RECORDS) {
            firstRead = kept.removeFirst().offset() + 1;
        }
        ConfigurationRecord content = parse(record.payload());
        if (content != null && content.kind() == ConfigurationRecord.Kind.SNAPSHOT) {
            adopt(content.at(), content.base(), content.document());
        }
    }

    private void fold(LogRecord record) {
        lastSnapshotMillis = Math.min(lastSnapshotMillis, record.timestampMillis());
        RecordVerdict verdict = judge(record);
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

    private RecordVerdict judge(LogRecord record) {
        ConfigurationRecord content = parse(record.payload());
        if (content == null) {
            return isUnknownFormat(record.payload())
                    ? RecordVerdict.UNKNOWN_FORMAT
                    : RecordVerdict.CORRUPT;
        }
        if (content.kind() == ConfigurationRecord.Kind.SNAPSHOT) {
            if (content.base() == version) {
                lastSnapshotMillis = record.timestampMillis();
                coveredOffset = record.offset();
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
