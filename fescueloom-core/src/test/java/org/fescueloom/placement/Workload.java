package org.fescueloom.placement;

import java.util.List;
import java.util.Set;
import org.fescueloom.config.CustomerPolicy;

/**
 * Is everything that happens to a cluster in one run.
 *
 * @param workers the workers
 * @param customers the customers and their guarantees
 * @param jobs the jobs in order of arrival
 * @param badWorkers the workers that fail every task
 * @param zoneOut a zone that is out of service for a while
 * @param outFromMillis when it goes out
 * @param outUntilMillis when it returns
 */
record Workload(
        List<WorkerView> workers,
        List<CustomerPolicy> customers,
        List<SubmittedJob> jobs,
        Set<String> badWorkers,
        String zoneOut,
        long outFromMillis,
        long outUntilMillis) {}
