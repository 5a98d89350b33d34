package org.fescueloom.config;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Enumerates the topology bounds within which all accelerators of a guaranteed block or of a job
 * must be located.
 */
public enum Adjacency {
    /** All accelerators are on one worker. */
    WORKER,
    /** All accelerators are on workers of one rack. */
    RACK,
    /** All accelerators are in one availability zone. */
    ZONE,
    /** The accelerators can be anywhere. */
    NONE;

    /**
     * Returns the JSON value of this constant.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
