package org.fescueloom.config;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Says within what bound the accelerators of one block or one job must lie. */
public enum Adjacency {
    /** All on one worker. */
    WORKER,
    /** All on workers of one rack. */
    RACK,
    /** All in one availability zone. */
    ZONE,
    /** Anywhere. */
    NONE;

    /**
     * Returns the text that stands for this value in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
