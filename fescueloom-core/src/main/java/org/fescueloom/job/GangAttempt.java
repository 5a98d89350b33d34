package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * Holds one attempt to run a job.
 *
 * @param placed where the gang was placed, not null
 * @param ended how it ended; null while it has not
 */
public record GangAttempt(GangPlaced placed, GangEnded ended) {
    /** Checks that the placement is given. */
    public GangAttempt {
        Objects.requireNonNull(placed, "placed");
    }

    /**
     * Tells whether the attempt has not ended.
     *
     * @return whether no end is recorded
     */
    @JsonIgnore
    public boolean isOpen() {
        return ended == null;
    }
}
