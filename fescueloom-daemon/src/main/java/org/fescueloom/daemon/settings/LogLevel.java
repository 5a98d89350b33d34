package org.fescueloom.daemon.settings;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the least level of the events that are logged. */
public enum LogLevel {
    /** Every step, for a developer. */
    TRACE,
    /** Each message and each decision. */
    DEBUG,
    /** What an operator wants to know of an ordinary day. */
    INFO,
    /** What may need an operator. */
    WARN,
    /** Faults of the process itself. */
    ERROR;

    /**
     * Returns the text that stands for this level in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
