package org.fescueloom.daemon.jobs;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangPlaced;
import org.fescueloom.wire.TaskReport;

/** Stops the tasks of a gang and returns its leases. */
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
     * Saves the progress of every task of a gang.
     *
     * @param gang the gang, not null
     * @return a future of the progress that every member has saved, in milliseconds; 0 if one of
     *     them could not save it
     */
    public CompletableFuture<Long> checkpoint(GangPlaced gang) {
        List<CompletableFuture<Long>> saved =
                gang.members().stream().map(this::checkpointMember).toList();
        return Futures.allOf(saved)
                .thenApply(
                        done -> saved.stream().mapToLong(CompletableFuture::join).min().orElse(0L));
    }

    /**
     * Releases every lease of a gang.
     *
     * @param gang the gang, not null
     * @return a future that is true if every worker confirmed; if not, the leases that are left
     *     lapse within {@link org.fescueloom.gang.LeaseTimings#retryDelayAfterLossMillis()}
     */
    public CompletableFuture<Boolean> release(GangPlaced gang) {
        List<CompletableFuture<Boolean>> released =
                gang.members().stream().map(m -> releaseMember(m, gang.epoch())).toList();
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

    /** Releases a lease that a later planner has since fenced off; its identifier is unique. */
    private CompletableFuture<Boolean> releaseWithHighestToken(GangMember member) {
        return workers.fetchReport(member.address())
                .thenCompose(
                        report ->
                                workers.releaseLease(
                                        member.address(), member.lease(), report.highestToken()))
                .handle((done, error) -> error == null);
    }
}
