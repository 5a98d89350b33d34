package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Describes a run that exists on an upstream.
 *
 * @param task the name of the task, not null
 * @param run the number of the run
 * @param checkpoint its newest checkpoint; empty if there is none
 * @param percent the share of its speed that it may use
 * @param load its tail latency in milliseconds if it serves, otherwise the processor time in use,
 *     in thousandths of a core
 */
public record RunStatus(String task, int run, String checkpoint, int percent, long load) {
    /** Checks the values. */
    public RunStatus {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
