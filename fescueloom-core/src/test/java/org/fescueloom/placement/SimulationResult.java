package org.fescueloom.placement;

import java.util.List;

/**
 * Holds the results of one simulation of a workload.
 *
 * @param completionMillis the time from submission to success of each job
 * @param largeJobWaitMillis the time from submission to the first start of each large job
 * @param fragmentation the mean share of the free accelerators that the largest waiting job cannot
 *     use
 * @param utilization the mean share of the accelerators in service that are in use
 * @param unfinished the number of jobs that had not ended at the end of the simulation
 * @param failed the number of jobs that failed
 * @param rejected the number of jobs that the planner rejected
 * @param preempted the number of preempted gangs
 * @param moved the number of moved gangs
 */
record SimulationResult(
        List<Long> completionMillis,
        List<Long> largeJobWaitMillis,
        double fragmentation,
        double utilization,
        int unfinished,
        int failed,
        int rejected,
        int preempted,
        int moved) {
    double meanCompletionSeconds() {
        return mean(completionMillis);
    }

    double p99CompletionSeconds() {
        return quantile(completionMillis, 0.99);
    }

    double meanLargeJobWaitSeconds() {
        return mean(largeJobWaitMillis);
    }

    double longestLargeJobWaitSeconds() {
        return quantile(largeJobWaitMillis, 1.0);
    }

    private static double mean(List<Long> millis) {
        return millis.stream().mapToLong(m -> m).average().orElse(0) / 1_000;
    }

    private static double quantile(List<Long> millis, double share) {
        List<Long> sorted = millis.stream().sorted().toList();
        int index = (int) Math.ceil(share * sorted.size()) - 1;
        return sorted.isEmpty() ? 0 : sorted.get(Math.max(0, index)) / 1_000.0;
    }
}
