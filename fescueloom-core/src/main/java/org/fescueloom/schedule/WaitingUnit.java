package org.fescueloom.schedule;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.fescueloom.work.StepSpec;

/**
 * Describes a scheduling unit that waits: tasks of one step that are ready to start. The tasks of a
 * gang start together or not at all.
 *
 * @param job the identifier of the job, not null
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param taskIndexes the indexes of the waiting tasks, at least one
 * @param spec the step, not null
 * @param service the service that runs the step, not null
 * @param customer the customer, not null
 * @param priority the priority of the job's queue; 0 is the most urgent
 * @param prospect whether the job can still meet its objective, not null
 * @param objectiveMillis the time by which the job should end, in milliseconds; the caller chooses
 *     the clock
 * @param millisSinceDue the time since the occurrence was due to start, in milliseconds
 * @param millisSinceReady the time since the tasks became ready to start, or to start again, in
 *     milliseconds
 * @param guaranteed whether the urgent jobs of the customer need no more than the resources that
 *     the customer is guaranteed
 * @param slackFactor the run time that the job may take, divided by its estimated run time
 * @param failedAgents the agents on whose upstreams a run of the step has failed, not null
 * @param runningPerAgent the number of tasks of the step that each upstream already runs, by agent,
 *     not null
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
    /** A job whose slack factor is below this value needs fast upstreams. */
    private static final double LITTLE_SLACK_FACTOR = 2.0;

    /**
     * Checks the components and copies the collections.
     *
     * @throws IllegalArgumentException if there is no task
     */
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
            throw new IllegalArgumentException(
                    "a waiting unit must have at least one task, got none");
        }
    }

    /**
     * Returns an identifier that no other waiting unit of a scheduling round has.
     *
     * @return the identifier, never null
     */
    public String id() {
        return job + '.' + occurrence + '.' + step;
    }

    /**
     * Tells whether the job may take little more time than its estimated run time.
     *
     * @return whether the slack factor is below two
     */
    public boolean hasLittleSlack() {
        return slackFactor < LITTLE_SLACK_FACTOR;
    }

    /**
     * Returns the greatest slowness at which the tasks, if they started now, would still end within
     * the run time that the slack factor allows.
     *
     * @return the slowness; not positive if the time has passed, and 0 without an estimate, by
     *     which no run time is known to be allowed
     */
    public double tolerableSlowness() {
        return spec.estimateMillis() == 0
                ? 0
                : slackFactor - (double) millisSinceDue / spec.estimateMillis();
    }

    /**
     * Returns the estimated work of the waiting tasks.
     *
     * @return the work in core-seconds
     */
    public double coreSeconds() {
        return taskIndexes.size() * spec.need().cores() * spec.estimateMillis() / 1_000.0;
    }

    /**
     * Returns this unit with fewer tasks.
     *
     * @param remaining the indexes of the remaining tasks, at least one
     * @return the unit, never null
     */
    public WaitingUnit withTaskIndexes(List<Integer> remaining) {
        return new WaitingUnit(
                job,
                occurrence,
                step,
                remaining,
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
