package org.fescueloom.config;

import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Objects;
import org.fescueloom.json.Json;

/**
 * Holds the payload of one record of the stream "config".
 *
 * @param format the version of the record format, see {@link #FORMAT}
 * @param kind the kind of the record, not null
 * @param base the version that a change replaces, or the version that a snapshot repeats; -1 for
 *     none
 * @param at for a snapshot, the offset below which every record is included in the snapshot; 0 for
 *     a change
 * @param document the complete document, not null
 * @param writer the identifier of the process that appended the record, not null
 */
public record ConfigurationRecord(
        int format, Kind kind, long base, long at, ConfigurationDocument document, String writer) {
    /** The name of the stream that contains these records. */
    public static final String STREAM = "config";

    /** The version of the record format that this code reads and writes. */
    public static final int FORMAT = 1;

    /** The version in force before the first change. */
    public static final long NO_VERSION = -1L;

    /** Checks that the components are not null and that the numbers are in range. */
    public ConfigurationRecord {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(document, "document");
        Objects.requireNonNull(writer, "writer");
        if (base < NO_VERSION || at < 0 || (kind == Kind.SNAPSHOT && base >= at)) {
            throw new IllegalArgumentException(
                    "must be base >= -1, at >= 0 and, in a snapshot, base < at: base "
                            + base
                            + ", at "
                            + at);
        }
    }

    /** Enumerates the kinds of records of the stream. */
    public enum Kind {
        /**
         * Replaces the document if the base of the record is the version in force at the offset of
         * the record.
         */
        CHANGE,
        /**
         * Repeats the document in force, so that the document remains available after older records
         * have expired.
         */
        SNAPSHOT;

        /**
         * Returns the JSON value of this kind.
         *
         * @return the name in lower case, never null
         */
        @JsonValue
        public String text() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Creates a record that replaces a version.
     *
     * @param base the version that the writer has seen; -1 for none
     * @param document the new document, not null
     * @param writer the identifier of the process that appends the record, not null
     * @return the record, never null
     */
    public static ConfigurationRecord change(
            long base, ConfigurationDocument document, String writer) {
        return new ConfigurationRecord(FORMAT, Kind.CHANGE, base, 0L, document, writer);
    }

    /**
     * Creates a record that repeats a version.
     *
     * @param version the version in force below offset {@code at}; -1 for none
     * @param at the offset below which the writer has folded every record
     * @param document the document in force, not null
     * @param writer the identifier of the process that appends the record, not null
     * @return the record, never null
     */
    public static ConfigurationRecord snapshot(
            long version, long at, ConfigurationDocument document, String writer) {
        return new ConfigurationRecord(FORMAT, Kind.SNAPSHOT, version, at, document, writer);
    }

    /**
     * Returns this record as the payload of a log record.
     *
     * @return the JSON tree, never null
     */
    public JsonNode payload() {
        return Json.tree(this);
    }
}
