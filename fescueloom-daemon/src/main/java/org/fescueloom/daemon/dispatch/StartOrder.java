package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Tells an agent to start a run.
 *
 * @param task the name of the task, not null
 * @param run the number of the run
 * @param boot the life of the upstream that is meant, not null
 * @param payload the text that is handed to the task, not null
 * @param checkpoint what it resumes from; empty to start afresh
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
