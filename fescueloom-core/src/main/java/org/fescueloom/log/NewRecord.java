package org.fescueloom.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Holds one record to append.
 *
 * @param id the identifier that the writer chose, not null; a repeat of it is ignored by readers
 * @param payload the content, not null
 */
public record NewRecord(String id, JsonNode payload) {
    /** Checks that identifier and payload are given. */
    public NewRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(payload, "payload");
    }
}
