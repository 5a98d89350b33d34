package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Orders an agent to stop a run, or to make sure that the run never starts.
 *
 * @param task the identifier of the task, not null
 * @param run the number of the run
 * @param boot the boot ID of the addressed upstream, not null
 */
public record StopOrder(String task, int run, String boot) {
    /** Checks the values. */
    public StopOrder {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(boot, "boot");
    }
}
