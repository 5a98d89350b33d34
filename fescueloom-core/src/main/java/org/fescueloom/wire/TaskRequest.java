package org.fescueloom.wire;

import java.util.Objects;

/**
 * Asks a worker to start a task under a lease.
 *
 * @param command what to run, not null
 * @param runMillis how long the task runs, in milliseconds, for workers that only pretend to run it
 * @param resumeMillis how much of the run an earlier checkpoint already holds, in milliseconds
 */
public record TaskRequest(String command, long runMillis, long resumeMillis) {
    /** Checks that the command is given. */
    public TaskRequest {
        Objects.requireNonNull(command, "command");
    }
}
