package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Says how far a worker is trusted with new gangs. */
public enum WorkerStanding {
    /** Takes any gang. */
    TRUSTED,
    /** Takes one small job, to learn whether it works again. */
    ON_PROBATION,
    /** Takes nothing for now. */
    SET_ASIDE;

    /**
     * Returns the text that stands for this standing in JSON.
     *
     * @return the name in lower case with hyphens, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
