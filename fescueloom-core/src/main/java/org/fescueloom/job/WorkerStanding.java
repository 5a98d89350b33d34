package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Tells which new gangs a worker may take, depending on the failures on it. */
public enum WorkerStanding {
    /** The worker may take any gang. */
    TRUSTED,
    /** The worker may take one small job, which shows whether the worker works again. */
    ON_PROBATION,
    /** The worker is excluded: it takes no new gang for a time. */
    SET_ASIDE;

    /**
     * Returns the name of this standing in JSON.
     *
     * @return the name in lower case with hyphens, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
