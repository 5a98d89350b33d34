package org.fescueloom.standins.load;

import java.util.List;
import java.util.Objects;

/**
 * Describes the load that a {@link LoadGenerator} creates.
 *
 * @param targets the addresses of the entries or upstreams to call, not empty
 * @param routing the way in which the target of each request is chosen, not null
 * @param serviceClass the service class of the requests, not null
 * @param customers the customers to which the requests are assigned in turn, not empty
 * @param requestCount the total number of requests, at least 1
 * @param requestsPerSecond the arrival rate, not negative; 0 for the arrival of all requests at
 *     once
 * @param maxBodyBytes the largest length of a body, not negative; lengths are distributed uniformly
 *     from 0
 * @param latencyLimitMillis the largest latency with which a response counts as in time, in
 *     milliseconds
 * @param seed the seed of the random bodies, lengths and targets
 */
public record LoadPlan(
        List<String> targets,
        Routing routing,
        String serviceClass,
        List<String> customers,
        int requestCount,
        double requestsPerSecond,
        int maxBodyBytes,
        long latencyLimitMillis,
        long seed) {
    /** Checks the components and copies the lists. */
    public LoadPlan {
        targets = List.copyOf(targets);
        customers = List.copyOf(customers);
        Objects.requireNonNull(routing, "routing");
        Objects.requireNonNull(serviceClass, "serviceClass");
        if (targets.isEmpty() || customers.isEmpty()) {
            throw new IllegalArgumentException("targets and customers must not be empty");
        }
        if (requestCount < 1 || requestsPerSecond < 0.0 || maxBodyBytes < 0) {
            throw new IllegalArgumentException(
                    "count must be at least 1, rate and max-body at least 0: "
                            + requestCount
                            + ", "
                            + requestsPerSecond
                            + ", "
                            + maxBodyBytes);
        }
    }

    /**
     * Returns a copy of this plan with other targets and another routing.
     *
     * @param newTargets the addresses to call, not empty
     * @param newRouting the routing, not null
     * @return the plan, never null
     */
    public LoadPlan withTargets(List<String> newTargets, Routing newRouting) {
        return new LoadPlan(
                newTargets,
                newRouting,
                serviceClass,
                customers,
                requestCount,
                requestsPerSecond,
                maxBodyBytes,
                latencyLimitMillis,
                seed);
    }
}
