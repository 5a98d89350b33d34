package org.fescueloom.daemon.dispatch;

import java.util.Objects;
import org.fescueloom.work.RunEnd;

/**
 * Describes a run that has ended on an upstream.
 *
 * @param number the number of the end, increasing within one incarnation of the upstream
 * @param task the identifier of the task, not null
 * @param run the number of the run
 * @param end how the run ended, not null
 * @param checkpoint the last checkpoint of the run; empty if there is none
 */
public record EndedRun(long number, String task, int run, RunEnd end, String checkpoint) {
    /** Checks the values. */
    public EndedRun {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(end, "end");
        Objects.requireNonNull(checkpoint, "checkpoint");
    }
}
