package org.fescueloom.fleet;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/**
 * Defines the states of an upstream: {@code READY} and {@code DRAINING} as it reports them, the
 * others as its agent finds them.
 */
public enum UpstreamState {
    /**
     * The upstream has answered, but no report of this incarnation has arrived. It accepts no
     * tasks, because it may be of another kind than the incarnation before.
     */
    STARTING,

    /** The upstream accepts tasks. */
    READY,

    /** The upstream leaves soon and accepts no new tasks. */
    DRAINING,

    /**
     * The upstream was deregistered, but is not known to have ended. It accepts no new tasks; its
     * runs go on.
     */
    LEAVING,

    /** The upstream has ended. */
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
