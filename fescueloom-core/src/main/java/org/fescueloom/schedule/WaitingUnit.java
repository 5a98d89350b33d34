package org.fescueloom.schedule;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fescueloom.work.StepSpec;

/**
 * Describes tasks of one step that wait for a start; those of a gang start together or not at all.
 *
 * @param job the identifier of the job, not null
 * @param occurrence the occurrence, from 0
 * @param step the number of the step, from 0
 * @param taskIndexes the tasks that wait, at least one
 * @param spec the step, not null
 * @param service the service that runs it, not null
 * @param customer the customer, not null
 * @param priority the priority of its queue; 0 comes first
 * @param prospect what can still become of the job, not null
 * @param objectiveMillis when the job should be done, on the clock of the caller, in milliseconds
 * @param millisSinceDue how long ago the tasks were due, in milliseconds
 * @param millisSinceReady how long the tasks have waited since they could start, or start again, in
 *     milliseconds
 * @param guaranteed whether all urgent jobs of the customer fit into what it is guaranteed
 * @param slackFactor how many times its work the job may take
 * @param failedAgents the agents on which a run of the step has failed, not null
 * @param runningPerAgent how many tasks of the step each agent runs already, not null
 */
public record WaitingUnit(
        String job,
        int occurrence,
        int step,
        List<Integer> taskIndexes,
        StepSpec spec,
        String service,
        String customer,
        int priority,
        Prospect prospect,
        long objectiveMillis,
        long millisSinceDue,
        long millisSinceReady,
        boolean guaranteed,
        double slackFactor,
        Set<String> failedAgents,
        Map<String, Integer> runningPerAgent) {
    /** A job that may take less than this many times its work needs fast upstreams. */
    private static final double PRESSING_FACTOR = 2.0;

    /** Checks the values. */
    public WaitingUnit {
        Objects.requireNonNull(job, "job");
        Objects.requireNonNull(spec, "spec");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(prospect, "prospect");
        taskIndexes = List.copyOf(taskIndexes);
        failedAgents = Set.copyOf(failedAgents);
        runningPerAgent = Map.copyOf(runningPerAgent);
        if (taskIndexes.isEmpty()) {
            throw new IllegalArgumentException("a unit needs at least one task");
        }
    }

    /**
     * Tells whether the job allows little more time than its work takes.
     *
     * @return whether it may take less than twice its work
     */
    public boolean hasLittleSlack() {
        return slackFactor < PRESSING_FACTOR;
    }

    /**
     * Returns the work of the tasks that wait.
     *
     * @return core-seconds by the estimate
     */
    public double coreSeconds() {
        return taskIndexes.size() * spec.need().cores() * spec.estimateMillis() / 1_000.0;
    }

    /**
     * Returns the same unit with fewer tasks.
     *
     * @param rest the tasks that are left, at least one
     * @return the unit, never null
     */
    public WaitingUnit withTaskIndexes(List<Integer> rest) {
        return new WaitingUnit(
                job,
                occurrence,
                step,
                rest,
                spec,
                service,
                customer,
                priority,
                prospect,
                objectiveMillis,
                millisSinceDue,
                millisSinceReady,
                guaranteed,
                slackFactor,
                failedAgents,
                runningPerAgent);
    }
}
