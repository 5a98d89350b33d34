package org.fescueloom.wire;

import java.util.Objects;

/**
 * Answers a claim.
 *
 * @param granted whether the run that claimed has the identifier now
 * @param holder the claim that holds now; the run's own if it was granted; not null
 * @param vouches whether the agent remembers every claim that can still count; false for a while
 *     after its start
 */
public record ClaimReply(boolean granted, RequestClaim holder, boolean vouches) {
    /** Checks that the claim that holds is given. */
    public ClaimReply {
        Objects.requireNonNull(holder, "holder");
    }
}
