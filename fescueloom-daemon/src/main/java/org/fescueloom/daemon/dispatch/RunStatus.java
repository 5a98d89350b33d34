package org.fescueloom.daemon.dispatch;

import java.util.Objects;

/**
 * Describes a run that exists on an upstream.
 *
 * @param task the identifier of the task, not null
 * @param run the number of the run
 * @param checkpoint the newest checkpoint of the run; empty if there is none
 * @param percent the throttle: the percentage of full speed at which the upstream lets the task
 *     work
 * @param load the tail latency in milliseconds if the task serves requests, otherwise the processor
 *     time in use, in thousandths of a core
 */
public record RunStatus(String task, int run, String checkpoint, int percent, long load) {
    /** Checks the values. */
    public RunStatus {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
