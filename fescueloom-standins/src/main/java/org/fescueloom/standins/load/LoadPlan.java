package org.fescueloom.standins.load;

import java.util.List;
import java.util.Objects;

/**
 * Describes the load to make.
 *
 * @param targets the addresses that are called, not empty
 * @param routing how a target is chosen, not null
 * @param serviceClass the class of the requests, not null
 * @param customers the customers that the requests are shared among, not empty
 * @param requestCount how many requests in all
 * @param requestsPerSecond how many arrive in a second; 0 for all at once
 * @param maxBodyBytes the longest body; lengths are spread evenly from 0
 * @param targetMillis within how many milliseconds an answer counts as in time
 * @param seed the seed of bodies, lengths and choices
 */
public record LoadPlan(
        List<String> targets,
        Routing routing,
        String serviceClass,
        List<String> customers,
        int requestCount,
        double requestsPerSecond,
        int maxBodyBytes,
        long targetMillis,
        long seed) {
    /** Checks the ranges and copies the lists. */
    public LoadPlan {
        targets = List.copyOf(targets);
        customers = List.copyOf(customers);
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(serviceClass, "serviceClass");
        if (targets.isEmpty() || customers.isEmpty()) {
            throw new IllegalArgumentException("targets and customers must not be empty");
        }
        if (requestCount < 1 || requestsPerSecond < 0.0 || maxBodyBytes < 0) {
            throw new IllegalArgumentException("count, perSecond or maxBodyBytes is out of range");
        }
    }

    /**
     * Returns this plan with other targets and routing.
     *
     * @param others the addresses, not null
     * @param other the routing, not null
     * @return the plan, never null
     */
    public LoadPlan to(List<String> newTargets, Routing newRouting) {
        return new LoadPlan(
                newTargets,
                newRouting,
                serviceClass,
                customers,
                requestCount,
                requestsPerSecond,
                maxBodyBytes,
                targetMillis,
                seed);
    }
}
