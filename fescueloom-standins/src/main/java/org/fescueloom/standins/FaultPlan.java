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
    private final Map<Fault, Integer> shown = new HashMap<>();

    /**
     * Replaces the faults and forgets how often the former ones were shown.
     *
     * @param next the faults from now on, not null
     */
    public synchronized void replace(Faults next) {
        faults = Objects.requireNonNull(next, "next");
        random = new Random(next.seed());
        shown.clear();
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
    public synchronized Optional<Fault> meet(FaultKind kind, String path) {
        for (Fault fault : faults.faults()) {
            if (fault.kind() == kind && matches(fault, path) && isLeft(fault)) {
                shown.merge(fault, 1, Integer::sum);
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }

    private boolean matches(Fault fault, String path) {
        boolean onPath = fault.path() == null || path.contains(fault.path());
        return onPath && random.nextDouble() < fault.probability();
    }

    private boolean isLeft(Fault fault) {
        return fault.times() == null || shown.getOrDefault(fault, 0) < fault.times();
    }
}
