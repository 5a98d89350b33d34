package org.fescueloom.placement;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Defines the reasons for which a job waits. */
public enum WaitReason {
    /** Too few accelerators, cores or memory are free. */
    NO_CAPACITY,
    /**
     * Enough accelerators, cores and memory are free, but not within one topology domain of the
     * adjacency that the job needs.
     */
    FRAGMENTED,
    /** The free capacity is reserved for, or was given to, another job. */
    RESERVED_FOR_OTHER,
    /** Gangs were told to stop to free capacity for the job. */
    PREEMPTING,
    /** The last gang attempt of the job failed, and the next one is not due yet. */
    BACKOFF,
    /** Only workers that are lost, excluded or in a zone out of service could hold the job. */
    WORKERS_OUT;

    /**
     * Returns the text that stands for this reason in JSON.
     *
     * @return the name in lower case with hyphens, never null
     */
    @JsonValue
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
