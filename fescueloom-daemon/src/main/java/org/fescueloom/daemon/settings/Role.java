package org.fescueloom.daemon.settings;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Lists the roles of a daemon. */
public enum Role {
    /** Accepts requests and jobs from callers and plans jobs. */
    ENTRY,
    /** Runs beside an upstream, limits the use of its slots and renews leases of gangs. */
    AGENT;

    /**
     * Returns the text of this role in JSON.
     *
     * @return the name of the constant in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
