package org.fescueloom.fleet;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names what an upstream has said of itself last. */
public enum UpstreamState {
    /** It takes tasks. */
    READY,

    /** It leaves soon and takes no new tasks. */
    DRAINING,

    /** It has gone, or nothing was heard of it yet. */
    GONE;

    /**
     * Returns the name on the wire.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
