package org.fescueloom.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the decisions of a round; a later decision about a waiting job replaces its former. */
final class PlanDraft {
    private final Map<String, Decision> waiting = new LinkedHashMap<>();
    private final List<Decision> others = new ArrayList<>();

    /** Says what becomes of a waiting job. */
    void decide(Decision decision) {
        waiting.put(decision.job(), decision);
    }

    /** Adds a decision about a running gang, or a reservation. */
    void add(Decision decision) {
        others.add(decision);
    }

    /** Tells whether a job waits for a reason. */
    boolean waitsFor(String job, WaitReason reason) {
        return waiting.get(job) instanceof WaitForCapacity wait && wait.reason() == reason;
    }

    /** Returns all decisions, those about running gangs first. */
    List<Decision> decisions() {
        List<Decision> all = new ArrayList<>(others);
        all.addAll(waiting.values());
        return all;
    }
}
