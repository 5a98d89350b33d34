package org.fescueloom.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Holds one record as the log service returns it.
 *
 * @param offset the place in the stream, from 0
 * @param timestampMillis the time of the append by the log's clock, in milliseconds since the epoch
 * @param id the identifier that the writer chose, not null
 * @param payload the content, not null
 */
public record LogRecord(long offset, long timestampMillis, String id, JsonNode payload) {
    /** Checks that identifier and payload are given. */
    public LogRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(payload, "payload");
    }
}
