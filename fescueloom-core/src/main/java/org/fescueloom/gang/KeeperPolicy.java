package org.fescueloom.gang;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.fescueloom.job.GangMember;
import org.fescueloom.job.GangResult;
import org.fescueloom.wire.LeaseReport;
import org.fescueloom.wire.TaskReport;
import org.fescueloom.wire.TaskState;
import org.fescueloom.wire.WorkerReport;

/**
 * Decides in each round of a lease keeper whether the leases of a gang are renewed.
 *
 * <p>Any number of keepers may keep one gang, because their actions can be repeated safely. The
 * first rule that matches applies:
 *
 * <ol>
 *   <li>Every task ended with success: complete.
 *   <li>A task failed: stop.
 *   <li>The job is cancelled: stop.
 *   <li>A worker reported that it does not have the lease or that the task was stopped: stop, or
 *       wait while the gang may still be starting.
 *   <li>A worker has not responded for the duration of a lease: stop.
 *   <li>A worker did not respond, a task has not started, or the view of the log is not valid:
 *       wait.
 *   <li>Otherwise: renew. Every member runs or has succeeded.
 * </ol>
 */
public final class KeeperPolicy {
    private KeeperPolicy() {}

    /**
     * Decides what a keeper does with a gang in one round.
     *
     * @param gang the observation of the gang, not null
     * @param timings the times that bound a start and a lease, not null
     * @return the decision, never null
     */
    public static KeeperDecision decide(GangObservation gang, LeaseTimings timings) {
        MemberTally members = new MemberTally(gang);
        long checkpointMillis = Math.max(gang.checkpointMillis(), members.checkpointMillis());
        if (members.succeeded == members.total) {
            return new KeeperDecision(
                    KeeperAction.COMPLETE,
                    GangResult.SUCCEEDED,
                    "every task ended with success",
                    null,
                    checkpointMillis);
        }
        if (!members.failedOn.isEmpty()) {
            String reason = "a task failed on " + String.join(", ", members.failedOn);
            return KeeperDecision.stop(
                    GangResult.FAILED, reason, members.failedOn, checkpointMillis);
        }
        if (gang.cancelled()) {
            String reason = "cancelled by the caller";
            return KeeperDecision.stop(GangResult.CANCELLED, reason, null, checkpointMillis);
        }
        boolean starting = gang.knownMillis() < timings.startBoundMillis();
        if (!members.missingOn.isEmpty() && !starting) {
            String reason = "no lease or task left on " + String.join(", ", members.missingOn);
            return KeeperDecision.stop(GangResult.LOST, reason, null, checkpointMillis);
        }
        if (!members.silent.isEmpty() && gang.silentMillis() >= timings.ttlMillis()) {
            String reason = "no response from " + String.join(", ", members.silent);
            return KeeperDecision.stop(GangResult.LOST, reason, null, checkpointMillis);
        }
        if (members.running + members.succeeded < members.total) {
            return KeeperDecision.waiting("not every member is known to run");
        }
        if (!gang.viewValid()) {
            return KeeperDecision.waiting("the view of the jobs stream is too old");
        }
        return new KeeperDecision(
                KeeperAction.RENEW, null, "every member runs", null, checkpointMillis);
    }

    /** Counts the members by the state that their workers report. */
    private static final class MemberTally {
        private final List<String> failedOn = new ArrayList<>();
        private final List<String> missingOn = new ArrayList<>();
        private final List<String> silent = new ArrayList<>();
        private final int total;
        private int running;
        private int succeeded;
        private long minCheckpointMillis = Long.MAX_VALUE;

        MemberTally(GangObservation gang) {
            total = gang.placed().members().size();
            for (GangMember member : gang.placed().members()) {
                WorkerReport report = gang.reports().get(member.worker());
                if (report == null) {
                    silent.add(member.worker());
                    minCheckpointMillis = 0L;
                } else {
                    count(member, report);
                }
            }
        }

        private void count(GangMember member, WorkerReport report) {
            Optional<LeaseReport> lease =
                    report.leases().stream()
                            .filter(l -> l.lease().equals(member.lease()))
                            .findFirst();
            if (lease.isEmpty()) {
                missingOn.add(member.worker());
                minCheckpointMillis = 0L;
                return;
            }
            Optional<TaskReport> task =
                    lease.get().tasks().stream()
                            .filter(t -> t.task().equals(member.task()))
                            .findFirst();
            task.ifPresent(t -> count(member, t));
            long checkpoint = task.map(TaskReport::checkpointMillis).orElse(0L);
            minCheckpointMillis = Math.min(minCheckpointMillis, checkpoint);
        }

        private void count(GangMember member, TaskReport task) {
            if (task.state() == TaskState.RUNNING) {
                running++;
            } else if (task.state() == TaskState.SUCCEEDED) {
                succeeded++;
            } else if (task.state() == TaskState.FAILED) {
                failedOn.add(member.worker());
            } else {
                missingOn.add(member.worker());
            }
        }

        long checkpointMillis() {
            return minCheckpointMillis == Long.MAX_VALUE ? 0L : minCheckpointMillis;
        }
    }
}
