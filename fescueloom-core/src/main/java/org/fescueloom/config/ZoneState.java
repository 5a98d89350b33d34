package org.fescueloom.config;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Tells whether an availability zone is in service, as set by the operators. */
public enum ZoneState {
    /** The zone is in service: work may start in the zone. */
    IN,
    /** The zone is out of service: no work may start in the zone. */
    OUT;

    /**
     * Returns the JSON value of this state.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
