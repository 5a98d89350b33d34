package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Collects the decisions of a planning round. A later decision about a waiting job replaces the
 * earlier one.
 */
final class PlanBuilder {
    private final Map<String, Decision> waitingJobDecisions = new LinkedHashMap<>();
    private final List<Decision> otherDecisions = new ArrayList<>();

    /** Sets the decision about a waiting job and replaces an earlier decision about the job. */
    void setWaitingJobDecision(Decision decision) {
        waitingJobDecisions.put(decision.job(), decision);
    }

    /** Adds a decision about a running gang, or a reservation. */
    void addOtherDecision(Decision decision) {
        otherDecisions.add(decision);
    }

    /** Returns whether the current decision about a job is to wait for the given reason. */
    boolean isWaitingFor(String job, WaitReason reason) {
        return waitingJobDecisions.get(job) instanceof WaitForCapacity wait
                && wait.reason() == reason;
    }

    /** Returns all decisions, those about running gangs first. */
    List<Decision> decisions() {
        List<Decision> all = new ArrayList<>(otherDecisions);
        all.addAll(waitingJobDecisions.values());
        return all;
    }
}
