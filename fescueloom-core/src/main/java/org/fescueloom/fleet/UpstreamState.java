package org.fescueloom.fleet;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Defines the states that an upstream reports about itself. */
public enum UpstreamState {
    /** The upstream accepts tasks. */
    READY,

    /** The upstream leaves soon and accepts no new tasks. */
    DRAINING,

    /** The upstream has left, or no report has arrived from it yet. */
    GONE;

    /**
     * Returns the text that stands for this state in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
