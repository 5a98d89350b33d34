package org.fescueloom.gang;

import java.util.Map;
import java.util.Objects;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.wire.WorkerReport;

/**
 * Holds the observations of a lease keeper about a gang in one round.
 *
 * @param placed the placement of the gang, not null
 * @param reports the reports of this round by worker; a worker that did not respond has none; null
 *     counts as no reports
 * @param knownMillis the time since this keeper learned of the gang, in milliseconds
 * @param silentMillis the time since all workers last responded in one round, in milliseconds;
 *     equal to {@code knownMillis} if they never did
 * @param checkpointMillis the run time covered by a checkpoint of every member that this keeper saw
 *     in an earlier round, in milliseconds; 0 for none
 * @param cancelled whether the caller cancelled the job
 * @param viewValid whether the keeper's view of the {@code jobs} stream is recent enough, or every
 *     known entry has reported recently that it cannot reach the log service
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
