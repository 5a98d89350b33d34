package org.fescueloom.placement;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Names why a job waits. */
public enum WaitReason {
    /** Too few accelerators, cores or memory are free. */
    NO_CAPACITY,
    /** Enough is free, but not as close together as the job needs it. */
    FRAGMENTED,
    /** What is free is kept for a job that was reserved before. */
    RESERVED_FOR_OTHER,
    /** Gangs were told to stop to make room for the job. */
    PREEMPTING,
    /** The job ended without success and is tried again later. */
    BACKOFF,
    /** Only workers that are lost, set aside or in a zone out of service could hold the job. */
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
