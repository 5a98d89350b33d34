package org.fescueloom.config;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Says whether operators have an availability zone in service. */
public enum ZoneState {
    /** Work may start in the zone. */
    IN,
    /** No work may start in the zone. */
    OUT;

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
