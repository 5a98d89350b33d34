package org.fescueloom.fleet;

import java.util.Objects;

/**
 * Holds the settings of a queue of jobs, which operators make.
 *
 * @param name the name, not null
 * @param host the host name that callers use, not null
 * @param pathPrefix the prefix of all request paths of the queue, not null
 * @param service the service that runs the tasks, not null
 * @param priority the priority; jobs of priority 0 come first and may stop other jobs
 * @param maxFailedRuns the number of failed runs of one task, or of all tasks of a gang, after
 *     which the job fails; at least 1
 * @param slackFactor the time that an occurrence of a job may take, as a multiple of the estimated
 *     run time of its critical path
 * @param sloAllowanceMillis the operator's latency objective, which is added to that time, in
 *     milliseconds
 * @param anonymousAccess whether callers need no API key
 * @param usesAdvisor whether an advisor service of the operator decides which upstreams may run the
 *     steps of the queue's jobs
 */
public record QueuePolicy(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxFailedRuns,
        double slackFactor,
        long sloAllowanceMillis,
        boolean anonymousAccess,
        boolean usesAdvisor) {
    /** Checks that the texts are not null and raises the number of failed runs to at least 1. */
    public QueuePolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(service, "service");
        maxFailedRuns = Math.max(1, maxFailedRuns);
    }
}
