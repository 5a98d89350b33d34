package org.fescueloom.placement;

import java.util.List;
import java.util.Set;
import org.fescueloom.config.CustomerPolicy;

/**
 * Describes the cluster and all events of one simulation.
 *
 * @param workers the workers
 * @param customers the customers and their guarantees
 * @param jobs the jobs in order of arrival
 * @param badWorkers the workers on which every task fails
 * @param zoneOut the availability zone that is out of service for some time
 * @param outFromMillis the time at which the zone goes out of service
 * @param outUntilMillis the time at which the zone returns to service
 */
record Workload(
        List<WorkerView> workers,
        List<CustomerPolicy> customers,
        List<SubmittedJob> jobs,
        Set<String> badWorkers,
        String zoneOut,
        long outFromMillis,
        long outUntilMillis) {}
