package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.fescueloom.config.Adjacency;

/**
 * Describes a gang job as its caller submits it.
 *
 * @param customer the customer that the job belongs to, not null
 * @param serviceClass the class of work ("class" in JSON), not null
 * @param tasks the number of tasks, which run at the same time
 * @param acceleratorsPerTask the number of accelerators that each task needs on its worker
 * @param adjacency the topology domain within which all accelerators of the job must lie; null
 *     counts as {@code NONE}
 * @param cpus the number of processor cores that each task needs
 * @param memoryMb the memory that each task needs, in mebibytes
 * @param runSeconds the declared run time, in seconds
 * @param checkpointable whether a task can be resumed from a checkpoint
 * @param urgent whether the job is placed before other jobs of its customer
 * @param command the command that each task runs; null counts as empty
 */
public record JobSpec(
        String customer,
        @JsonProperty("class") String serviceClass,
        int tasks,
        int acceleratorsPerTask,
        Adjacency adjacency,
        int cpus,
        long memoryMb,
        long runSeconds,
        boolean checkpointable,
        boolean urgent,
        String command) {
    /** Checks the names and fills in default values. */
    public JobSpec {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(serviceClass, "class");
        adjacency = adjacency == null ? Adjacency.NONE : adjacency;
        command = command == null ? "" : command;
    }
}
