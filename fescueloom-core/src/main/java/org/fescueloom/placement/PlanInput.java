package org.fescueloom.placement;

import java.util.List;
import java.util.Objects;
import org.fescueloom.config.CustomerPolicy;

/**
 * Holds the whole input of one planning round.
 *
 * @param nowMillis the current time, in milliseconds since the epoch
 * @param cluster the workers and the gangs on them, not null
 * @param waiting the jobs without a gang; null means none
 * @param customers the customers and their guarantees; null means none
 * @param runTimes the estimates of run times; null means estimates without observations
 */
public record PlanInput(
        long nowMillis,
        ClusterView cluster,
        List<WaitingJob> waiting,
        List<CustomerPolicy> customers,
        RunTimeEstimates runTimes) {
    /** Checks that the cluster is not null and copies the lists. */
    public PlanInput {
        Objects.requireNonNull(cluster, "cluster");
        waiting = waiting == null ? List.of() : List.copyOf(waiting);
        customers = customers == null ? List.of() : List.copyOf(customers);
        runTimes = runTimes == null ? new RunTimeEstimates() : runTimes;
    }
}
