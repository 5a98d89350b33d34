package org.fescueloom.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueloom.wire.ClaimReply;
import org.fescueloom.wire.RequestClaim;

/**
 * Counts what the agents that are responsible for an identifier said to a claim.
 *
 * <p>A claim holds when more than half of them granted it and vouch for their memory, or when all
 * of them granted it and one vouches. An earlier claim is held by more than half; so even if one of
 * those has restarted since, and another agent never heard of the claim, the two cannot pass a
 * repeat. Not safe for use by several threads at once.
 */
public final class ClaimTally {
    private final int holders;
    private final Map<RequestClaim, Integer> others = new HashMap<>();
    private int granted;
    private int vouched;
    private int answered;

    /**
     * Creates an empty tally.
     *
     * @param holders how many agents were asked, not negative
     */
    public ClaimTally(int holders) {
        this.holders = holders;
    }

    /** Names what a tally has come to. */
    public enum Verdict {
        /** The claim holds. */
        CLAIMED,
        /** The claim cannot hold any more, and another run has the identifier somewhere. */
        TAKEN,
        /** The claim cannot hold any more, and no other run was seen. */
        FAILED,
        /** More answers are needed. */
        OPEN
    }

    /**
     * Counts one answer.
     *
     * @param reply the answer; null for an agent that did not answer
     */
    public void count(ClaimReply reply) {
        answered++;
        if (reply != null && reply.granted()) {
            granted++;
            vouched += reply.vouches() ? 1 : 0;
        } else if (reply != null) {
            others.merge(reply.holder(), 1, Integer::sum);
        }
    }

    /**
     * Returns what the tally has come to.
     *
     * @return the verdict, never null
     */
    public Verdict verdict() {
        boolean byAll = granted == holders && vouched > 0;
        if (holders > 0 && (byAll || vouched > holders / 2)) {
            return Verdict.CLAIMED;
        }
        int open = holders - answered;
        if (open > 0) {
            return Verdict.OPEN;
        }
        return others.isEmpty() ? Verdict.FAILED : Verdict.TAKEN;
    }

    /**
     * Returns the claim of another run that has the identifier.
     *
     * @return the claim that most agents hold, or empty if none was seen
     */
    public Optional<RequestClaim> competingClaim() {
        return others.entrySet().stream().max(Map.Entry.comparingByValue()).map(Map.Entry::getKey);
    }
}
