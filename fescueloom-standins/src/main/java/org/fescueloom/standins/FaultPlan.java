package org.fescueloom.standins;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;

/** Decides which calls meet which fault. Safe for use by several threads. */
public final class FaultPlan {
    private Faults faults = Faults.NONE;
    private Random random = new Random(0L);
    private final Map<Fault, Integer> triggerCounts = new HashMap<>();

    /**
     * Replaces the faults and forgets how often the former ones were shown.
     *
     * @param next the faults from now on, not null
     */
    public synchronized void replace(Faults newFaults) {
        faults = Objects.requireNonNull(newFaults, "next");
        random = new Random(newFaults.seed());
        triggerCounts.clear();
    }

    /**
     * Returns the faults that are in force.
     *
     * @return the faults, never null
     */
    public synchronized Faults current() {
        return faults;
    }

    /**
     * Decides whether a call meets a fault, and counts it if so.
     *
     * @param kind the kind of fault, not null
     * @param path the path of the call, not null
     * @return the fault, or empty if the call does not meet one of this kind
     */
    public synchronized Optional<Fault> trigger(FaultKind kind, String path) {
        for (Fault fault : faults.faults()) {
            if (fault.kind() == kind && applies(fault, path) && isBelowLimit(fault)) {
                triggerCounts.merge(fault, 1, Integer::sum);
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }

    private boolean applies(Fault fault, String path) {
        boolean pathMatches = fault.path() == null || path.contains(fault.path());
        return pathMatches && random.nextDouble() < fault.probability();
    }

    private boolean isBelowLimit(Fault fault) {
        return fault.times() == null || triggerCounts.getOrDefault(fault, 0) < fault.times();
    }
}
