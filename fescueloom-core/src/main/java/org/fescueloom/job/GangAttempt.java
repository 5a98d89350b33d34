package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * Holds one gang attempt of a job.
 *
 * @param placed the placement of the gang, not null
 * @param ended the end of the attempt; null while it has not ended
 */
public record GangAttempt(GangPlaced placed, GangEnded ended) {
    /** Checks that the placement is given. */
    public GangAttempt {
        Objects.requireNonNull(placed, "placed");
    }

    /**
     * Tells whether the attempt has not ended.
     *
     * @return whether no end of the attempt is recorded
     */
    @JsonIgnore
    public boolean isOpen() {
        return ended == null;
    }
}
