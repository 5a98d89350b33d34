package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Orders an agent to start a run.
 *
 * @param task the identifier of the task, not null
 * @param run the number of the run
 * @param boot the boot ID of the addressed upstream, not null
 * @param payload the text that is passed to the task, not null
 * @param checkpoint the checkpoint from which the run resumes; empty to start from the beginning
 */
public record StartOrder(String task, int run, String boot, String payload, String checkpoint) {
    /** Checks the values. */
    public StartOrder {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(boot, "boot");
        Objects.requireNonNull(payload, "payload");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
