package org.fescueloom.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueloom.wire.ClaimReply;
import org.fescueloom.wire.RequestClaim;

/**
 * Counts the responses to a claim from the agents that are responsible for the request identifier.
 *
 * <p>A claim succeeds when more than half of the agents granted it and report that their record of
 * claims is complete, or when all agents granted it and at least one of them has a complete record.
 * An earlier claim that succeeded is recorded by more than half of the agents. If one of these
 * agents has restarted since and another agent never received the earlier claim, both grant the
 * claim of a repeated request, but only one of the two has a complete record, so that this claim
 * does not succeed.
 *
 * <p>Not thread-safe.
 */
public final class ClaimTally {
    private final int agents;

    /** The claims that agents reported instead of a grant, with the number of agents for each. */
    private final Map<RequestClaim, Integer> competingClaims = new HashMap<>();

    private int granted;
    private int grantedWithCompleteRecord;
    private int counted;

    /**
     * Creates an empty tally.
     *
     * @param agents the number of agents that were asked, not negative
     */
    public ClaimTally(int agents) {
        this.agents = agents;
    }

    /** Enumerates the results of a tally. */
    public enum Verdict {
        /** The claim has succeeded. */
        CLAIMED,
        /**
         * All responses are counted, the claim has not succeeded, and an agent reported the claim
         * of another run.
         */
        TAKEN,
        /**
         * All responses are counted, the claim has not succeeded, and no agent reported the claim
         * of another run.
         */
        FAILED,
        /** More responses are needed. */
        OPEN
    }

    /**
     * Counts the response of one agent.
     *
     * @param reply the response; null for an agent that did not respond
     */
    public void count(ClaimReply reply) {
        counted++;
        if (reply != null && reply.granted()) {
            granted++;
            grantedWithCompleteRecord += reply.vouches() ? 1 : 0;
        } else if (reply != null) {
            competingClaims.merge(reply.holder(), 1, Integer::sum);
        }
    }

    /**
     * Returns the result so far.
     *
     * @return the verdict, never null
     */
    public Verdict verdict() {
        boolean grantedByAll = granted == agents && grantedWithCompleteRecord > 0;
        if (agents > 0 && (grantedByAll || grantedWithCompleteRecord > agents / 2)) {
            return Verdict.CLAIMED;
        }
        int outstanding = agents - counted;
        if (outstanding > 0) {
            return Verdict.OPEN;
        }
        return competingClaims.isEmpty() ? Verdict.FAILED : Verdict.TAKEN;
    }

    /**
     * Returns the claim of another run that holds the identifier.
     *
     * @return the competing claim that most agents reported, or empty if none was reported
     */
    public Optional<RequestClaim> competingClaim() {
        return competingClaims.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey);
    }
}
