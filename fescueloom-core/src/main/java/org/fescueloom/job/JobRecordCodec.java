package org.fescueloom.job;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/** Converts between job records and the payloads of the {@code jobs} stream. */
public final class JobRecordCodec {
    /** The name of the stream. */
    public static final String STREAM = "jobs";

    /** The version of the record format that this process writes, and the highest that it reads. */
    public static final int VERSION = 1;

    private static final String VERSION_FIELD = "version";

    private JobRecordCodec() {}

    /**
     * Converts a record to a payload.
     *
     * @param record the record, not null
     * @return the payload with type and version, never null
     */
    public static JsonNode write(JobRecord record) {
        ObjectNode tree = (ObjectNode) Json.tree(record);
        return tree.put(VERSION_FIELD, VERSION);
    }

    /**
     * Converts a payload to a record.
     *
     * @param payload the payload, not null
     * @return the record, or empty if its version or type is unknown or a field is invalid
     */
    public static Optional<JobRecord> read(JsonNode payload) {
        int version = payload.path(VERSION_FIELD).asInt(0);
        if (version < 1 || version > VERSION) {
            return Optional.empty();
        }
        try {
            return Optional.of(Json.convert(payload, JobRecord.class));
        } catch (SchedulerException e) {
            return Optional.empty();
        }
    }
}
