package org.fescueloom.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Holds one record that was read from the log service.
 *
 * @param offset the offset in the stream, from 0
 * @param timestampMillis the time of the append by the clock of the log service, in milliseconds
 *     since the epoch
 * @param id the identifier that the writer chose, not null
 * @param payload the content, not null
 */
public record LogRecord(long offset, long timestampMillis, String id, JsonNode payload) {
    /** Checks that the identifier and the payload are not null. */
    public LogRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(payload, "payload");
    }
}
