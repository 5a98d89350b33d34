package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;
import org.fescueloom.config.CustomerPolicy;

/**
 * Holds everything that one planning round depends on.
 *
 * @param nowMillis the time, in milliseconds since the epoch
 * @param cluster the workers and what they hold, not null
 * @param waiting the jobs without a gang; null counts as none
 * @param customers the customers and their guarantees; null counts as none
 * @param runTimes what was seen of run times; null counts as nothing
 */
public record PlanInput(
        long nowMillis,
        ClusterView cluster,
        List<WaitingJob> waiting,
        List<CustomerPolicy> customers,
        RunTimeEstimates runTimes) {
    /** Checks the cluster and copies the lists. */
    public PlanInput {
        Objects.requireNonNull(cluster, "cluster");
        waiting = waiting == null ? List.of() : List.copyOf(waiting);
        customers = customers == null ? List.of() : List.copyOf(customers);
        runTimes = runTimes == null ? new RunTimeEstimates() : runTimes;
    }
}
