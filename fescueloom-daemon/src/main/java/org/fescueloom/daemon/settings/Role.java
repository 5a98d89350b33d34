package org.fescueloom.daemon.settings;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names the roles that a daemon can have. */
public enum Role {
    /** Takes requests and jobs from callers and plans. */
    ENTRY,
    /** Guards the slots of the upstream beside it and keeps leases. */
    AGENT;

    /**
     * Returns the text that stands for this role in JSON.
     *
     * @return the name in lower case, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
