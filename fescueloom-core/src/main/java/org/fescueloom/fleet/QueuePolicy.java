package org.fescueloom.fleet;

import java.util.Objects;

/**
 * Holds what operators have set for a queue of jobs.
 *
 * @param name the name, not null
 * @param host the host name that callers use, not null
 * @param pathPrefix what the paths of the queue begin with, not null
 * @param service the service that runs the tasks, not null
 * @param priority the priority; 0 comes first and may stop others
 * @param maxFailedRuns how many runs of a task may fail before the job is given up, at least 1
 * @param slackFactor how many times its longest chain of work a job may take
 * @param sloAllowanceMillis what is added to that, in milliseconds
 * @param anonymousAccess whether callers need no key
 * @param usesAdvisor whether another service decides which upstreams may run its steps
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
    /** Checks the values. */
    public QueuePolicy {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(service, "service");
        maxFailedRuns = Math.max(1, maxFailedRuns);
    }
}
