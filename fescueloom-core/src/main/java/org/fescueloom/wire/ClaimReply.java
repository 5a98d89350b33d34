package org.fescueloom.wire;

import java.util.Objects;

/**
 * Represents the response of an agent to a claim.
 *
 * @param granted whether the run that sent the claim now holds the request identifier
 * @param holder the claim that is in force now, not null; the sent claim if it was granted
 * @param vouches whether the agent's record of claims is complete, that is, contains every claim
 *     that can still count; false for some time after the start of the agent
 */
public record ClaimReply(boolean granted, RequestClaim holder, boolean vouches) {
    /** Checks that the claim in force is not null. */
    public ClaimReply {
        Objects.requireNonNull(holder, "holder");
    }
}
