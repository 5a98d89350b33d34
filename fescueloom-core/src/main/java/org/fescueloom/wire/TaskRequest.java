package org.fescueloom.wire;

import java.util.Objects;

/**
 * Asks a worker to start a task under a lease.
 *
 * @param command the command to run, not null
 * @param runMillis the run time of the task, in milliseconds, for workers that only simulate the
 *     task
 * @param resumeMillis the part of the run time that an earlier checkpoint already covers, in
 *     milliseconds
 */
public record TaskRequest(String command, long runMillis, long resumeMillis) {
    /** Checks that the command is not null. */
    public TaskRequest {
        Objects.requireNonNull(command, "command");
    }
}
