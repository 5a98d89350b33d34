package org.fescueloom.daemon.settings;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Lists the log levels from the most to the least detailed one. */
public enum LogLevel {
    /** Single steps, for developers. */
    TRACE,
    /** Each message and each decision. */
    DEBUG,
    /** Events that inform operators about normal operation. */
    INFO,
    /** Events that may need the attention of an operator. */
    WARN,
    /** Faults within the process itself. */
    ERROR;

    /**
     * Returns the text of this level in JSON.
     *
     * @return the name of the constant in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
