package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Tells an agent to stop a run, or to make sure that it never starts.
 *
 * @param task the name of the task, not null
 * @param run the number of the run
 * @param boot the life of the upstream that is meant, not null
 */
public record StopOrder(String task, int run, String boot) {
    /** Checks the values. */
    public StopOrder {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(boot, "boot");
    }
}
