package org.fescueloom.log;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Objects;

/**
 * Holds one record to be appended.
 *
 * @param id the identifier that the writer chose, not null; readers ignore later records with the
 *     same identifier
 * @param payload the content, not null
 */
public record NewRecord(String id, JsonNode payload) {
    /** Checks that the identifier and the payload are not null. */
    public NewRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(payload, "payload");
    }
}
