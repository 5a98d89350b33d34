package org.fescueloom.standins;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;

/**
 * Decides which faults affect which calls.
 *
 * <p>Safe for use by several threads.
 */
public final class FaultPlan {
    private Faults faults = Faults.NONE;
    private Random random = new Random(0L);

    /** The number of calls that each fault has affected since the faults were last replaced. */
    private final Map<Fault, Integer> triggerCounts = new HashMap<>();

    /**
     * Replaces the faults and resets the counts of affected calls.
     *
     * @param next the faults to use from now on, not null
     */
    public synchronized void replace(Faults next) {
        faults = Objects.requireNonNull(next, "next");
        random = new Random(next.seed());
        triggerCounts.clear();
    }

    /**
     * Returns the current faults.
     *
     * @return the faults, never null
     */
    public synchronized Faults current() {
        return faults;
    }

    /**
     * Decides whether a fault of a kind affects a call. If so, counts the call towards the limit of
     * that fault.
     *
     * @param kind the kind of fault, not null
     * @param path the path of the call, not null
     * @return the fault, or empty if no fault of this kind affects the call
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
