package org.fescueloom.gang;

import java.util.Map;
import java.util.Objects;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.wire.WorkerReport;

/**
 * Holds what a keeper knows of a gang in one round.
 *
 * @param placed where the gang was placed, not null
 * @param reports the reports of this round by worker; a worker that did not answer has none; null
 *     counts as none
 * @param knownMillis how long this keeper has known the gang, in milliseconds
 * @param silentMillis the time since all workers last answered in one round, in milliseconds; equal
 *     to {@code knownMillis} if they never did
 * @param checkpointMillis the common checkpoint that earlier rounds of this keeper saw, in
 *     milliseconds of the run; 0 for none
 * @param cancelled whether the caller cancelled the job
 * @param viewValid whether the keeper's view of the {@code jobs} stream is recent enough, or every
 *     known entry says freshly that the log cannot be reached
 */
public record GangObservation(
        GangPlaced placed,
        Map<String, WorkerReport> reports,
        long knownMillis,
        long silentMillis,
        long checkpointMillis,
        boolean cancelled,
        boolean viewValid) {
    /** Checks the placement and copies the reports. */
    public GangObservation {
        Objects.requireNonNull(placed, "placed");
        reports = reports == null ? Map.of() : Map.copyOf(reports);
    }
}
