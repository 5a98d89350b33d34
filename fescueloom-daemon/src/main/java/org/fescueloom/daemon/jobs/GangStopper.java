package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.wire.TaskReport;

/**
 * Saves the progress of gangs and releases their leases. The release of a lease also stops its
 * task.
 */
public final class GangStopper {
    private final WorkerClient workers;

    /**
     * Creates a stopper.
     *
     * @param workers calls the workers, not null
     */
    public GangStopper(WorkerClient workers) {
        this.workers = Objects.requireNonNull(workers, "workers");
    }

    /**
     * Asks the worker of each member to save a checkpoint of its task.
     *
     * @param gang the placed gang, not null
     * @return a future that never fails; its value is the part of the run that the checkpoints of
     *     all members cover, in milliseconds, 0 if a member could not save a checkpoint
     */
    public CompletableFuture<Long> checkpoint(GangPlaced gang) {
        List<CompletableFuture<Long>> saved =
                gang.members().stream().map(this::checkpointMember).toList();
        return Futures.allOf(saved)
                .thenApply(
                        done -> saved.stream().mapToLong(CompletableFuture::join).min().orElse(0L));
    }

    /**
     * Releases all leases of a gang.
     *
     * @param gang the placed gang, not null
     * @return a future that never fails; its value is true if every worker confirmed the release;
     *     otherwise the remaining leases lapse within {@link
     *     org.fescueloom.gang.LeaseTimings#retryDelayAfterLossMillis()}
     */
    public CompletableFuture<Boolean> release(GangPlaced gang) {
        List<CompletableFuture<Boolean>> released =
                gang.members().stream().map(member -> releaseMember(member, gang.epoch())).toList();
        return Futures.allOf(released)
                .thenApply(done -> released.stream().allMatch(CompletableFuture::join));
    }

    private CompletableFuture<Long> checkpointMember(GangMember member) {
        return workers.checkpointTask(member.address(), member.lease(), member.task())
                .thenApply(TaskReport::checkpointMillis)
                .exceptionally(error -> 0L);
    }

    private CompletableFuture<Boolean> releaseMember(GangMember member, long epoch) {
        return workers.releaseLease(member.address(), member.lease(), epoch)
                .handle((done, error) -> error == null)
                .thenCompose(
                        confirmed ->
                                confirmed
                                        ? CompletableFuture.completedFuture(true)
                                        : releaseWithHighestToken(member));
    }

    /**
     * Repeats a release with the highest fencing token that the worker has seen, because the worker
     * refuses the token of a replaced planner. This is safe because the identifier of the lease is
     * unique to the gang attempt.
     */
    private CompletableFuture<Boolean> releaseWithHighestToken(GangMember member) {
        return workers.fetchReport(member.address())
                .thenCompose(
                        report ->
                                workers.releaseLease(
                                        member.address(), member.lease(), report.highestToken()))
                .handle((done, error) -> error == null);
    }
}
