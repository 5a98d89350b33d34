package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Objects;
import org.fescueloom.config.Adjacency;

/**
 * Describes a gang job as its caller submits it.
 *
 * @param customer the customer that the job belongs to, not null
 * @param serviceClass the class of work ("class" in JSON), not null
 * @param tasks how many tasks run together
 * @param acceleratorsPerTask how many accelerators each task needs, all on one worker
 * @param adjacency within what bound all accelerators of the job lie; null counts as none
 * @param cpus how many processor cores each task needs
 * @param memoryMb the memory each task needs, in mebibytes
 * @param runSeconds the declared run time, in seconds
 * @param checkpointable whether a task can be resumed from a checkpoint
 * @param urgent whether the job goes before others of its customer
 * @param command what each task runs; null counts as empty
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
    /** Checks the names and fills in what may be left out. */
    public JobSpec {
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(serviceClass, "class");
        adjacency = adjacency == null ? Adjacency.NONE : adjacency;
        command = command == null ? "" : command;
    }
}
